import type { LogWrite } from './LogWrite';
import type { WriteOutcome } from './WriteOutcome';

/** Writes records to one topic. Records may be written twice, and must be idempotent. */
export interface RecordWriter {
  /** Writes a record. Resolves by the deadline, in monotonic milliseconds, at the latest. */
  writeRecord(write: LogWrite, deadline: number): Promise<WriteOutcome>;
  /** Returns for how long writes have failed, in milliseconds; 0 after a success. */
  getOutageMs(): number;
}
