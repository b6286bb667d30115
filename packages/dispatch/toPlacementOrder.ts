import type { WaitingStep } from './WaitingStep';

/**
 * Orders waiting steps: by priority, then those that can still meet their objective before those that are late, then the
 * earliest objective first.
 */
export const toPlacementOrder = (waiting: readonly WaitingStep[], wallMs: number): readonly WaitingStep[] =>
  [...waiting].sort((left, right) => {
    const byPriority = left.job.definition.queue.priority - right.job.definition.queue.priority;
    if (byPriority !== 0) {
      return byPriority;
    }
    const byLateness = Number(left.objectiveAtMs < wallMs) - Number(right.objectiveAtMs < wallMs);
    return byLateness === 0 ? left.objectiveAtMs - right.objectiveAtMs : byLateness;
  });
