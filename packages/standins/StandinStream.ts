interface Page {
  readonly first: number;
  readonly tail: number;
  readonly records: readonly { readonly offset: number; readonly value: unknown }[];
}

/** In-memory append-only stream of the platform stand-in. */
export class StandinStream {
  private values: unknown[] = [];
  private first = 0;
  private waiters: (() => void)[] = [];

  /** Appends a record and returns its offset. */
  appendValue(value: unknown): number {
    this.values.push(value);
    const waiters = this.waiters;
    this.waiters = [];
    for (const resolveWait of waiters) {
      resolveWait();
    }
    return this.first + this.values.length - 1;
  }

  /** Waits until there is a record at offset `from`, for at most `waitMs`. */
  async waitForRecord(from: number, waitMs: number): Promise<void> {
    if (from < this.first + this.values.length || waitMs === 0) {
      return;
    }
    await new Promise<void>((resolve) => {
      const timer = setTimeout(resolve, waitMs);
      this.waiters.push(() => {
        clearTimeout(timer);
        resolve();
      });
    });
  }

  /** Returns up to `limit` records from an offset on. */
  getPage(from: number, limit: number): Page {
    const start = Math.max(from, this.first);
    const values = this.values.slice(start - this.first, start - this.first + limit);
    const records = values.map((value, index) => ({ offset: start + index, value }));
    return { first: this.first, tail: this.first + this.values.length, records };
  }

  /** Removes all records before the offset `first`. */
  removeBefore(first: number): void {
    const count = Math.max(0, Math.min(first - this.first, this.values.length));
    this.values = this.values.slice(count);
    this.first += count;
  }
}
