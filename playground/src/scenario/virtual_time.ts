/**
 * Virtual time: scheduled tasks run in order of their time, without real waiting.
 *
 * @module
 */

interface ScheduledTask {
  readonly at: number;
  readonly sequence: number;
  readonly run: () => void;
}

/** A clock that advances from one scheduled task to the next. Tasks of the same time run in order of scheduling. */
export class VirtualTime {
  #now = 0;
  #sequence = 0;
  readonly #heap: ScheduledTask[] = [];

  get now(): number {
    return this.#now;
  }

  /** Schedules a task `delay` milliseconds from now. */
  after(delay: number, run: () => void): void {
    this.at(this.#now + Math.max(0, delay), run);
  }

  at(at: number, run: () => void): void {
    this.#sequence++;
    this.#push({ at, sequence: this.#sequence, run });
  }

  /** Runs all tasks that are due by `until` and advances the clock to it. */
  runUntil(until: number): void {
    while (this.#heap.length > 0 && this.#heap[0]!.at <= until) {
      const task = this.#pop();
      this.#now = task.at;
      task.run();
    }
    this.#now = until;
  }

  #push(task: ScheduledTask): void {
    const heap = this.#heap;
    let index = heap.push(task) - 1;
    while (index > 0) {
      const parent = (index - 1) >> 1;
      if (isBefore(heap[parent]!, heap[index]!)) {
        return;
      }
      [heap[parent], heap[index]] = [heap[index]!, heap[parent]!];
      index = parent;
    }
  }

  #pop(): ScheduledTask {
    const heap = this.#heap;
    const first = heap[0]!;
    const last = heap.pop()!;
    if (heap.length > 0) {
      heap[0] = last;
      this.#siftDown();
    }
    return first;
  }

  #siftDown(): void {
    const heap = this.#heap;
    let index = 0;
    while (true) {
      const left = 2 * index + 1;
      let least = index;
      for (const child of [left, left + 1]) {
        if (child < heap.length && isBefore(heap[child]!, heap[least]!)) {
          least = child;
        }
      }
      if (least === index) {
        return;
      }
      [heap[least], heap[index]] = [heap[index]!, heap[least]!];
      index = least;
    }
  }
}

function isBefore(left: ScheduledTask, right: ScheduledTask): boolean {
  return left.at < right.at ||
    (left.at === right.at && left.sequence < right.sequence);
}
