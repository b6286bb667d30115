import type { EntryStatus } from '../entry/EntryStatus';
import type { Command } from './Command';
import { createOperatorClient } from './createOperatorClient';
import { exitCodes } from './exitCodes';
import { formatColumns } from './formatColumns';
import { sharedOptions } from './sharedOptions';
import { writeLine } from './writeLine';

const STATUS_HEADINGS = [
  'box',
  'hall',
  'ready',
  'view',
  'may place',
  'log',
  'table',
  'workers',
  'waiting',
  'running',
  'standing',
];

const toStatusCells = (status: EntryStatus): readonly unknown[] => {
  const waiting = status.rows.reduce((sum, row) => sum + row.waiting, 0);
  const running = status.rows.reduce((sum, row) => sum + row.running, 0);
  const standing = Object.values(status.standing).reduce((sum, count) => sum + count, 0);
  const { box, hall, isReady, view, hasEvidence, hasLog, table, workers } = status;
  const number = view?.number ?? 0;
  const placeable = `${workers.placeable}/${workers.known}`;
  return [
    box,
    hall,
    isReady,
    number,
    hasEvidence,
    hasLog,
    table.offset,
    placeable,
    waiting,
    running,
    standing,
  ];
};

/** `stairline status`: prints one line for each entry box. */
export const statusCommand: Command = {
  name: 'status',
  summary: 'Show each entry box: readiness, view, table offset, workers, waiting and running.',
  usage: '--settings FILE [--box NAME] [--json]',
  options: sharedOptions,
  run: async (input) => {
    const client = createOperatorClient(input);
    if (client === undefined) {
      return exitCodes.usage;
    }
    const responses = await client.requestFromAll<EntryStatus>('/status');
    if (input.values['json'] === true) {
      writeLine(JSON.stringify(responses));
    } else {
      const lines = responses.map(({ box, answer }) =>
        answer.ok ? toStatusCells(answer.value) : [box, `no response: ${answer.error}`],
      );
      writeLine(formatColumns(STATUS_HEADINGS, lines));
    }
    return responses.some(({ answer }) => answer.ok) ? exitCodes.done : exitCodes.failed;
  },
};
