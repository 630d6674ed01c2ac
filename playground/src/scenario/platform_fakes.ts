/**
 * Fakes of the platform's services, in virtual time.
 *
 * @module
 */
import type { ListedVm, ServiceRevision } from "@sassafrasstep/core";

/**
 * How the fake configuration service behaves: `stale` always serves revision 1, `backwards` an older
 * revision at each read.
 */
export type FakeConfigurationMode = "normal" | "outage" | "stale" | "backwards";

/** Configuration service that keeps all published texts; revision N is the Nth text. */
export class FakeConfiguration {
  mode: FakeConfigurationMode = "normal";
  calls = 0;
  readonly #texts: string[] = [];
  readonly #watchers = new Set<() => void>();
  /** Revisions under which a text was returned, over all restores. */
  readonly #returned = new Set<number>();
  /**
   * Whether readers can know the newest text for newer than those before: its revision is above all that were
   * returned before it was published, or one of them. Otherwise it looks like an outdated answer.
   */
  isNewestProvable = true;
  #backwardsReads = 0;

  get revision(): number {
    return this.#texts.length;
  }

  /** The newest published text. */
  get newest(): string {
    return this.#texts.at(-1) ?? "";
  }

  publish(text: string): void {
    this.#texts.push(text);
    this.isNewestProvable = this.#returned.has(this.revision) ||
      this.revision > Math.max(0, ...this.#returned);
    this.wakeWatchers();
  }

  /** Restores a backup: later revisions are lost, and their numbers are assigned again. */
  restore(revision: number): void {
    this.#texts.length = revision;
    this.wakeWatchers();
  }

  /** The result of a read now; `undefined` during an outage or before the first publication. */
  read(): { revision: ServiceRevision; text: string } | undefined {
    if (this.mode === "outage" || this.#texts.length === 0) {
      return undefined;
    }
    const revision = this.#servedRevision();
    this.#returned.add(revision);
    return {
      revision: revision as ServiceRevision,
      text: this.#texts[revision - 1]!,
    };
  }

  watch(wake: () => void): () => void {
    this.#watchers.add(wake);
    return () => this.#watchers.delete(wake);
  }

  wakeWatchers(): void {
    [...this.#watchers].forEach((wake) => wake());
  }

  #servedRevision(): number {
    if (this.mode === "stale") {
      return 1;
    }
    if (this.mode === "backwards") {
      this.#backwardsReads++;
      return Math.max(1, this.#texts.length - this.#backwardsReads);
    }
    return this.#texts.length;
  }
}

/** The platform's VM list, which shows changes after a lag. */
export class FakeVmList {
  lagMs = 200;
  frozenAt: number | undefined;
  down = false;
  empty = false;
  readonly #versions: {
    readonly at: number;
    readonly vms: readonly ListedVm[];
  }[] = [];

  set(vms: readonly ListedVm[], now: number): void {
    this.#versions.push({ at: now, vms });
  }

  /** The list that readers see at `now`. */
  read(now: number): readonly ListedVm[] {
    const publishedUntil = this.frozenAt ?? now - this.lagMs;
    const visible = this.#versions.filter(({ at }) => at <= publishedUntil);
    return (visible.at(-1) ?? this.#versions[0])!.vms;
  }
}
