import { compareEvents } from '../timeline/compareEvents';
import type { TimelineEvent } from '../timeline/TimelineEvent';
import type { OperatorClient } from './OperatorClient';

interface MergedEvents {
  readonly events: readonly TimelineEvent[];
  /** Boxes that did not respond; their events are missing. */
  readonly silent: readonly string[];
}

/** Requests timeline events from all allowed boxes and merges them in order of hybrid time. Lists the boxes that did not respond. */
export const readMergedEvents = async (client: OperatorClient, path: string): Promise<MergedEvents> => {
  const responses = await client.requestFromAll<{ events: readonly TimelineEvent[] }>(path);
  const events = responses.flatMap(({ answer }) => (answer.ok ? answer.value.events : []));
  const silent = responses.filter(({ answer }) => !answer.ok).map(({ box }) => box);
  return { events: [...events].sort(compareEvents), silent };
};
