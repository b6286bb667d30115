import { applySnapshot } from './applySnapshot';
import { TABLE_LIMITS } from './constants';
import { foldRecord } from './foldRecord';
import type { LoggedRecord } from './LoggedRecord';
import type { TableSnapshot } from './TableSnapshot';
import type { TableState } from './TableState';

/**
 * Owns the table of one process and feeds it the log in offset order.
 * After a gap (a new process, or a log trimmed past its offset) records wait until a snapshot is found
 * whose every later record can be read; until then the old table stays in force.
 */
export class TableFold {
  private state: TableState;
  private nextOffset = 0;
  private hasGap = false;
  private firstReadable = 0;
  private waiting: LoggedRecord[] = [];
  private recent: LoggedRecord[] = [];

  constructor(initial: TableState) {
    this.state = initial;
    this.hasGap = !initial.isShared;
  }

  readTable(): TableState {
    return this.state;
  }

  /** The offset to read next. */
  readNextOffset(): number {
    return this.nextOffset;
  }

  /** Tells the fold that the log now starts at `first`: what came before cannot be read any more. */
  applyTrim(first: number): void {
    if (first <= this.nextOffset) {
      return;
    }
    this.hasGap = true;
    this.firstReadable = first;
    this.nextOffset = first;
    this.waiting = [];
  }

  /** Applies records that follow one another from the next offset on. */
  applyRecords(records: readonly LoggedRecord[]): void {
    for (const logged of records) {
      if (logged.offset === this.nextOffset) {
        this.nextOffset += 1;
        this.applyRecord(logged);
      }
    }
  }

  /** Reads the records after `offset` that are still in memory, or undefined when some are not. */
  readSince(offset: number): readonly LoggedRecord[] | undefined {
    const first = this.recent[0];
    const isCovered = !this.hasGap && first !== undefined && first.offset <= offset + 1;
    return isCovered ? this.recent.filter((logged) => logged.offset > offset) : undefined;
  }

  /** Applies a peer's table when it is newer than this one. Returns true when it was taken. */
  applyPeerSnapshot(snapshot: TableSnapshot): boolean {
    const taken = applySnapshot(this.state, snapshot);
    if (taken === this.state) {
      return false;
    }
    this.state = taken;
    this.recent = [];
    this.waiting = [];
    this.hasGap = false;
    this.nextOffset = snapshot.asOf + 1;
    return true;
  }

  private applyRecord(logged: LoggedRecord): void {
    if (!this.hasGap) {
      this.state = foldRecord(this.state, logged.record, logged.offset);
      this.recent = [...this.recent, logged].slice(-TABLE_LIMITS.history);
      return;
    }
    this.waiting.push(logged);
    const { record } = logged;
    if (record.kind === 'snapshot' && record.asOf >= this.firstReadable - 1) {
      this.applyAfterGap(record);
    }
  }

  private applyAfterGap(snapshot: TableSnapshot): void {
    const later = this.waiting.filter((logged) => logged.offset > snapshot.asOf);
    this.state = applySnapshot(this.state, snapshot);
    this.hasGap = false;
    this.waiting = [];
    this.recent = [];
    for (const logged of later) {
      this.applyRecord(logged);
    }
  }
}
