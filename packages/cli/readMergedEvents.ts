import { checkStampOrder } from '../timeline/checkStampOrder';
import type { TimelineEvent } from '../timeline/TimelineEvent';
import type { OperatorClient } from './OperatorClient';

interface MergedEvents {
  readonly events: readonly TimelineEvent[];
  /** Boxes that did not answer: their events are missing. */
  readonly silent: readonly string[];
}

/** Reads the events of all boxes and merges them in causal order. */
export const readMergedEvents = async (client: OperatorClient, path: string): Promise<MergedEvents> => {
  const answers = await client.readAll<{ events: readonly TimelineEvent[] }>(path);
  const events = answers.flatMap(({ answer }) => (answer.ok ? answer.value.events : []));
  const silent = answers.filter(({ answer }) => !answer.ok).map(({ box }) => box);
  return { events: [...events].sort(checkStampOrder), silent };
};
