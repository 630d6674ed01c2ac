/**
 * Fakes of the platform, in virtual time.
 *
 * @module
 */
import type { ListedVm, Revision } from "@sassafrasstep/core";

/** How the fake configuration service behaves. `backwards` serves ever older revisions. */
export type FakeMode = "normal" | "outage" | "stale" | "backwards";

/** Texts by revision. */
export class FakeConfiguration {
  mode: FakeMode = "normal";
  calls = 0;
  readonly #texts: string[] = [];
  readonly #watchers = new Set<() => void>();
  #backwards = 0;

  get revision(): number {
    return this.#texts.length;
  }

  /** The newest text. */
  get newest(): string {
    return this.#texts.at(-1) ?? "";
  }

  publish(text: string): void {
    this.#texts.push(text);
    this.wake();
  }

  /** Comes back from a copy: later revisions are lost, and given out again. */
  restore(revision: number): void {
    this.#texts.length = revision;
    this.wake();
  }

  /** What a read gets now, `undefined` in an outage. */
  read(): { revision: Revision; text: string } | undefined {
    if (this.mode === "outage" || this.#texts.length === 0) {
      return undefined;
    }
    const revision = this.#shownRevision();
    return { revision: revision as Revision, text: this.#texts[revision - 1]! };
  }

  watch(wake: () => void): () => void {
    this.#watchers.add(wake);
    return () => this.#watchers.delete(wake);
  }

  wake(): void {
    [...this.#watchers].forEach((wake) => wake());
  }

  #shownRevision(): number {
    if (this.mode === "stale") {
      return 1;
    }
    if (this.mode === "backwards") {
      this.#backwards++;
      return Math.max(1, this.#texts.length - this.#backwards);
    }
    return this.#texts.length;
  }
}

/** The list of VMs, published after a lag. */
export class FakeVmList {
  lag = 200;
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

  /** What is published at `now`. */
  read(now: number): readonly ListedVm[] {
    const horizon = this.frozenAt ?? now - this.lag;
    const visible = this.#versions.filter(({ at }) => at <= horizon);
    return (visible.at(-1) ?? this.#versions[0])!.vms;
  }
}
