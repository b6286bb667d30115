import { createWriteStream, type WriteStream } from 'node:fs';
import type { SchedulerEvent } from '../scheduler/SchedulerEvent';

/** Writes what reaches the decision core to a file or pipe, one JSON line an event, for replay in development. */
export class TraceRecorder {
  private readonly stream: WriteStream;

  constructor(file: string, header: Readonly<Record<string, string | number>>) {
    this.stream = createWriteStream(file);
    this.stream.write(`${JSON.stringify({ kind: 'header', ...header })}\n`);
  }

  recordEvent(event: SchedulerEvent, now: number): void {
    this.stream.write(`${JSON.stringify({ at: Math.round(now * 1000) / 1000, event })}\n`);
  }

  stop(): void {
    this.stream.end();
  }
}
