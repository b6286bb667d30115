import type { TimelineEvent } from './TimelineEvent';

/** Formats an event as one line: UTC time of day with the logical counter, box, component, kind and details. */
export const formatEvent = (event: TimelineEvent): string => {
  const time = new Date(event.stamp.ms).toISOString().slice(11, 23);
  const detail = Object.entries(event.detail)
    .map(([name, value]) => `${name}=${value}`)
    .join(' ');
  return `${time}.${event.stamp.count} ${event.box} [${event.part}] ${event.kind} ${detail}`.trimEnd();
};
