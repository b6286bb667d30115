import type { CallResult } from '../../dev/fleet/CallResult';
import type { Fleet } from '../../dev/fleet/Fleet';
import { waitForDelay } from '../../packages/common/waitForDelay';

interface LoadRunOptions {
  readonly fleet: Fleet;
  readonly boxes: readonly string[];
  readonly row: string;
  readonly runMs: number;
  /** Pause between two requests of one caller, in milliseconds. */
  readonly gapMs: number;
  readonly callers: number;
}

/** Callers that each send one request after the other until stopped, and keep what they saw. */
export class LoadRun {
  readonly results: CallResult[] = [];
  private isStopped = false;
  private readonly callers: Promise<void>[];

  constructor(private readonly options: LoadRunOptions) {
    this.callers = Array.from({ length: options.callers }, (_, index) => this.startCaller(index));
  }

  /** Stops the callers and resolves when the last answer is in. */
  async stop(): Promise<readonly CallResult[]> {
    this.isStopped = true;
    await Promise.all(this.callers);
    return this.results;
  }

  readCount(outcome: string): number {
    return this.results.filter((result) => result.outcome === outcome).length;
  }

  private async startCaller(index: number): Promise<void> {
    const { fleet, boxes, row, runMs, gapMs } = this.options;
    for (let number = 0; !this.isStopped; number += 1) {
      const box = boxes[(index + number) % boxes.length] ?? '';
      const body = `${index}-${number}`;
      const result = await fleet.sendCall(box, row, { body, headers: { 'x-run-ms': String(runMs) } });
      this.results.push(result);
      if (result.outcome === 'ran' && result.status === 200 && result.body !== `${row}:${body}`) {
        throw new Error(`the answer of another request: ${result.body} for ${body}`);
      }
      await waitForDelay(gapMs);
    }
  }
}
