import type { TimelineEvent } from '../timeline/TimelineEvent';

type Teller = (event: TimelineEvent) => string;

const WAITS: Readonly<Record<string, string>> = {
  nothing: 'nothing: there was room at once',
  room: 'room on a worker',
  limit: "a limit of its row or its team's quota",
};

const PLACEMENTS: Readonly<Record<string, string>> = {
  spread: 'it had the most room for this demand (row says spread)',
  pack: 'it had the least room that still fits (row says pack)',
};

const TELLERS: Readonly<Record<string, Teller>> = {
  arrived: ({ box, detail }) => `It arrived at ${box} for row ${detail['row']}.`,
  'sent on': ({ box, detail }) => `${box} had no room at once and sent it on to ${detail['to']}.`,
  placed: ({ box, detail }) => {
    const waited = WAITS[String(detail['waitedFor'])] ?? String(detail['waitedFor']);
    const why = PLACEMENTS[String(detail['placement'])] ?? '';
    return `${box} placed it on ${detail['worker']} after ${detail['waitedMs']} ms, waiting for ${waited}; chosen because ${why}.`;
  },
  'not sent': ({ detail }) =>
    `Nothing was sent to ${detail['worker']}: ${detail['reason']}. It waited again.`,
  'yield asked': ({ detail }) => `It was asked to yield ${detail['worker']} to ${detail['inFavourOf']}.`,
  yielded: ({ detail }) => `It yielded by checkpoint on ${detail['worker']} and waited again.`,
  'end not seen': ({ detail }) => `Its end on ${detail['worker']} was not seen: ${detail['reason']}.`,
  ended: ({ detail }) => `It ended on ${detail['worker']} with status ${detail['status']}.`,
  refused: ({ detail }) => `It was given up on: ${detail['reason']}.`,
  answered: ({ box, detail }) =>
    `${box} answered ${detail['outcome']}${detail['why'] === '' ? '' : ` (${detail['why']})`}.`,
};

/** Formats the events of one request as sentences. */
export const formatExplanation = (events: readonly TimelineEvent[]): readonly string[] =>
  events.flatMap((event) => {
    const teller = TELLERS[event.kind];
    return teller === undefined ? [] : [teller(event)];
  });
