import { createWriteStream, type WriteStream } from 'node:fs';
import { DecisionDigest } from '../replay/DecisionDigest';
import type { SchedulerEffect } from '../scheduler/SchedulerEffect';
import type { SchedulerEvent } from '../scheduler/SchedulerEvent';

/** Writes what reaches the decision core to a file or pipe, one JSON line an event, for replay in development. */
export class TraceRecorder {
  private readonly stream: WriteStream;
  private readonly digest = new DecisionDigest();

  constructor(file: string, header: Readonly<Record<string, string | number>>) {
    this.stream = createWriteStream(file);
    this.stream.write(`${JSON.stringify({ kind: 'header', ...header })}\n`);
  }

  recordEvent(event: SchedulerEvent, effects: readonly SchedulerEffect[], now: number): void {
    this.stream.write(`${JSON.stringify({ at: now, event })}\n`);
    for (const effect of effects) {
      this.digest.recordEffect(effect, now);
    }
  }

  /** Closes the trace with the digest of all decisions, so that a replay can show that it decides alike. */
  stop(): Promise<void> {
    return new Promise((resolve) => {
      this.stream.end(`${JSON.stringify({ kind: 'digest', digest: this.digest.formatDigest() })}\n`, resolve);
    });
  }
}
