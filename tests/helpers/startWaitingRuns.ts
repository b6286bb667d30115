import type { DispatchEffect } from '../../packages/dispatch/DispatchEffect';
import type { Dispatcher } from '../../packages/dispatch/Dispatcher';

/** Places the waiting tasks, confirms each start, and returns the effects of the dispatcher. */
export const startWaitingRuns = (dispatcher: Dispatcher, now: number): readonly DispatchEffect[] => {
  dispatcher.handleTick(now);
  dispatcher.placeWaiting(now, now);
  const effects = dispatcher.takeEffects();
  for (const effect of effects) {
    if (effect.kind === 'start' && dispatcher.handleStartRecorded(effect, now)) {
      const { task, run } = effect.command;
      dispatcher.handleStartResult(effect.endpoint, task, run, { kind: 'done' }, now);
    }
  }
  return effects;
};
