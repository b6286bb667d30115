import type { TimelineEvent } from '../timeline/TimelineEvent';

type EventFormatter = (event: TimelineEvent) => string;

const WAIT_CAUSE_TEXTS: Readonly<Record<string, string>> = {
  nothing: 'nothing: capacity was free at once',
  room: 'free capacity on a worker',
  limit: "a limit of its row or its team's quota",
};

const PLACEMENT_REASON_TEXTS: Readonly<Record<string, string>> = {
  spread: 'it had the most free capacity for this demand (placement of the row: spread)',
  pack: 'it had the least free capacity that fits this demand (placement of the row: pack)',
};

const EVENT_FORMATTERS: Readonly<Record<string, EventFormatter>> = {
  arrived: ({ box, detail }) => `It arrived at ${box} for row ${detail['row']}.`,
  'sent on': ({ box, detail }) => `${box} had no free capacity at once and forwarded it to ${detail['to']}.`,
  placed: ({ box, detail }) => {
    const waited = WAIT_CAUSE_TEXTS[String(detail['waitedFor'])] ?? String(detail['waitedFor']);
    const why = PLACEMENT_REASON_TEXTS[String(detail['placement'])] ?? '';
    return `${box} placed it on ${detail['worker']} after ${detail['waitedMs']} ms, waiting for ${waited}; chosen because ${why}.`;
  },
  'not sent': ({ detail }) =>
    `Nothing was sent to ${detail['worker']}: ${detail['reason']}. It was queued again.`,
  'yield asked': ({ detail }) => `It was asked to yield ${detail['worker']} to ${detail['inFavourOf']}.`,
  yielded: ({ detail }) => `It yielded by checkpoint on ${detail['worker']} and was queued again.`,
  'end not seen': ({ detail }) => `Its end on ${detail['worker']} was not seen: ${detail['reason']}.`,
  ended: ({ detail }) => `It ended on ${detail['worker']} with status ${detail['status']}.`,
  refused: ({ detail }) => `It was refused: ${detail['reason']}.`,
  answered: ({ box, detail }) =>
    `${box} responded with ${detail['outcome']}${detail['why'] === '' ? '' : ` (${detail['why']})`}.`,
};

/** Formats the timeline events of one request as sentences; events of unknown kinds are left out. */
export const formatRequestEvents = (events: readonly TimelineEvent[]): readonly string[] =>
  events.flatMap((event) => {
    const formatter = EVENT_FORMATTERS[event.kind];
    return formatter === undefined ? [] : [formatter(event)];
  });
