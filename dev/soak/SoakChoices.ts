import type { Random } from '../../packages/common/Random';
import { waitForDelay } from '../../packages/common/waitForDelay';

/** Random choices of one trouble or caller, which do not depend on what others choose meanwhile. */
export class SoakChoices {
  /** The numbers that `chooseUpTo` has returned. */
  readonly chosen: number[] = [];

  constructor(readonly random: Random) {}

  /** Returns a whole number from 0 to `most`. */
  chooseUpTo(most: number): number {
    const number = Math.floor(this.random() * (most + 1));
    this.chosen.push(number);
    return number;
  }

  /** Resolves after a random time of at most `mostMs` milliseconds. */
  waitForPause(mostMs: number): Promise<void> {
    return waitForDelay(this.chooseUpTo(mostMs));
  }

  /** Returns an element of a list; undefined if it is empty. */
  chooseFrom<T>(list: readonly T[]): T | undefined {
    return list[this.chooseUpTo(list.length - 1)];
  }
}
