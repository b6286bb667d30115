import type { LogWrite } from './LogWrite';
import type { WriteOutcome } from './WriteOutcome';

/** Makes records durable in one topic. Records must bear being written twice. */
export interface RecordWriter {
  /** Writes one record. Answers by the deadline, in monotonic milliseconds, at the latest. */
  writeRecord(write: LogWrite, deadline: number): Promise<WriteOutcome>;
  /** How long writes have failed, in milliseconds; 0 while the newest was answered. */
  getOutageMs(): number;
}
