interface StreamPage {
  /** Offset of the oldest record that the stream keeps. */
  readonly first: number;
  /** Offset of the next record to be appended. */
  readonly tail: number;
  readonly records: readonly { readonly offset: number; readonly value: unknown }[];
}

/** In-memory append-only stream of the platform stand-in. */
export class StandinStream {
  private values: unknown[] = [];
  private firstOffset = 0;
  private waiters: (() => void)[] = [];

  /** Appends a record, resolves all waits for one, and returns its offset. */
  appendValue(value: unknown): number {
    this.values.push(value);
    const waiters = this.waiters;
    this.waiters = [];
    for (const resolveWait of waiters) {
      resolveWait();
    }
    return this.firstOffset + this.values.length - 1;
  }

  /** Waits for the next append, for at most `waitMs`; returns at once when a record at or after `from` exists. */
  async waitForRecord(from: number, waitMs: number): Promise<void> {
    if (from < this.firstOffset + this.values.length || waitMs === 0) {
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

  /** Returns up to `limit` records from the offset `from` on, or from the oldest kept record when `from` is older. */
  getPage(from: number, limit: number): StreamPage {
    const start = Math.max(from, this.firstOffset);
    const values = this.values.slice(start - this.firstOffset, start - this.firstOffset + limit);
    const records = values.map((value, index) => ({ offset: start + index, value }));
    return { first: this.firstOffset, tail: this.firstOffset + this.values.length, records };
  }

  /** Removes all records before the offset `first`. */
  removeRecordsBefore(first: number): void {
    const count = Math.max(0, Math.min(first - this.firstOffset, this.values.length));
    this.values = this.values.slice(count);
    this.firstOffset += count;
  }
}
