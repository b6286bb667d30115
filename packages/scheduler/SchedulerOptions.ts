import type { Random } from '../common/Random';
import type { PolicyName } from './PolicyName';

/** What a decision core is made with. */
export interface SchedulerOptions {
  readonly policy: PolicyName;
  /** Seeded, so that a replay decides the same. */
  readonly random: Random;
  /** This box's place among the cell's configured entry boxes, for its share of limits. */
  readonly shareIndex: number;
  readonly shareCount: number;
}
