import { setImmediate as waitForNextTurn } from 'node:timers/promises';
import type { Clock } from './Clock';

/** Time for which work goes on before the event loop gets a turn, in milliseconds. */
const SLICE_MS = 50;

/** Divides a long piece of work into slices, between which the event loop handles what has arrived and is due. */
export class TimeSlices {
  private sliceStartedAt: number;

  constructor(private readonly clock: Clock) {
    this.sliceStartedAt = clock.getNow();
  }

  /** Resolves after a turn of the event loop when the running slice is used up, else at once. */
  async waitWhenUsedUp(): Promise<void> {
    if (this.clock.getNow() - this.sliceStartedAt >= SLICE_MS) {
      await waitForNextTurn();
      this.sliceStartedAt = this.clock.getNow();
    }
  }
}
