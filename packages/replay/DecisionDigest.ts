import { createHash } from 'node:crypto';
import type { SchedulerEffect } from '../scheduler/SchedulerEffect';

const DIGEST_LENGTH = 16;

/** A hash over all decisions in order, to tell whether two runs decided alike. */
export class DecisionDigest {
  private readonly hash = createHash('sha256');

  /** Records a decision made at monotonic time `at` (milliseconds). */
  recordEffect(effect: SchedulerEffect, at: number): void {
    this.hash.update(`${JSON.stringify(effect)}@${at.toFixed(3)}\n`);
  }

  /** Formats the digest so far; more may follow. */
  formatDigest(): string {
    return this.hash.copy().digest('hex').slice(0, DIGEST_LENGTH);
  }
}
