import type { EntryStatus } from '../entry/EntryStatus';
import type { Command } from './Command';
import { createOperatorClient } from './createOperatorClient';
import { exitCodes } from './exitCodes';
import { formatColumns } from './formatColumns';
import { sharedOptions } from './sharedOptions';
import { writeLine } from './writeLine';

const HEADS = [
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

const toCells = (status: EntryStatus): readonly unknown[] => {
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

/** `stairline status`: one line an entry box. */
export const statusCommand: Command = {
  name: 'status',
  summary: 'Show each entry box: readiness, view, table offset, workers, waiting and running.',
  usage: '--settings FILE [--box NAME] [--json]',
  options: sharedOptions,
  start: async (input) => {
    const client = createOperatorClient(input);
    if (client === undefined) {
      return exitCodes.usage;
    }
    const answers = await client.readAll<EntryStatus>('/status');
    if (input.values['json'] === true) {
      writeLine(JSON.stringify(answers));
    } else {
      const lines = answers.map(({ box, answer }) =>
        answer.ok ? toCells(answer.value) : [box, `no answer: ${answer.error}`],
      );
      writeLine(formatColumns(HEADS, lines));
    }
    return answers.some(({ answer }) => answer.ok) ? exitCodes.done : exitCodes.failed;
  },
};
