import { userInfo } from 'node:os';
import type { EditAnswer } from '../entry/EditAnswer';
import type { AppliedEdit } from '../table/AppliedEdit';
import type { CellValue } from '../table/CellValue';
import type { Row } from '../table/Row';
import type { Team } from '../table/Team';
import type { Command } from './Command';
import type { CommandInput } from './CommandInput';
import { createOperatorClient } from './createOperatorClient';
import { exitCodes } from './exitCodes';
import { formatColumns } from './formatColumns';
import type { OperatorClient } from './OperatorClient';
import { sharedOptions } from './sharedOptions';
import { writeError } from './writeError';
import { writeLine } from './writeLine';

interface TableAnswer {
  readonly offset: number;
  readonly isShared: boolean;
  readonly rows: readonly Row[];
  readonly teams: readonly Team[];
}

type Action = (client: OperatorClient, input: CommandInput) => Promise<number>;

/** A value is JSON where it can be read as such, and plain text otherwise. */
const parseValue = (text: string): CellValue => {
  try {
    return JSON.parse(text) as CellValue;
  } catch {
    return text;
  }
};

const toOperatorName = (): string => {
  const name = userInfo()
    .username.toLowerCase()
    .replace(/[^a-z0-9-]/g, '-');
  return /^[a-z]/.test(name) ? name : `op-${name}`;
};

const writeTable: Action = async (client, input) => {
  const answer = await client.readAny<TableAnswer>('/table');
  if (!answer.ok) {
    writeError(`No entry box answers: ${answer.error}.`);
    return exitCodes.failed;
  }
  const table = answer.value;
  if (input.values['json'] === true) {
    writeLine(JSON.stringify(table));
    return exitCodes.done;
  }
  const origin = table.isShared
    ? `offset ${table.offset}`
    : 'from the settings alone: no log and no peer was read yet';
  writeLine(`Table at ${origin}`);
  const columns = Object.keys(table.rows[0] ?? { name: '' });
  const lines = table.rows.map((row) => columns.map((column) => row[column as keyof Row]));
  writeLine(formatColumns(columns, lines));
  if (table.teams.length > 0) {
    writeLine('');
    writeLine(
      formatColumns(
        ['team', 'maxRunning', 'maxQueued'],
        table.teams.map((team) => [team.name, team.maxRunning, team.maxQueued]),
      ),
    );
  }
  return exitCodes.done;
};

const writeHistory: Action = async (client, input) => {
  const answer = await client.readAny<{ history: readonly AppliedEdit[] }>('/table/history');
  if (!answer.ok) {
    writeError(`No entry box answers: ${answer.error}.`);
    return exitCodes.failed;
  }
  if (input.values['json'] === true) {
    writeLine(JSON.stringify(answer.value.history));
    return exitCodes.done;
  }
  const lines = answer.value.history.map((edit) => [
    edit.offset,
    edit.decision,
    edit.cell,
    JSON.stringify(edit.value),
    edit.operator,
    edit.editId,
    edit.reason ?? '',
  ]);
  writeLine(formatColumns(['offset', 'decision', 'cell', 'value', 'operator', 'edit', 'reason'], lines));
  return exitCodes.done;
};

const writeEditAnswer = (answer: EditAnswer): number => {
  switch (answer.kind) {
    case 'refused':
      writeError(`Refused before the log: ${answer.reason}.`);
      return exitCodes.failed;
    case 'unknown':
      writeError(
        `Not known: ${answer.reason} Look for edit ${answer.editId} with \`stairline table history\`.`,
      );
      return exitCodes.failed;
    case 'decided':
      break;
  }
  const { edit, inForce, notSeen } = answer;
  if (edit.decision === 'refused') {
    writeError(`Refused at offset ${edit.offset}: ${edit.reason}.`);
    return exitCodes.failed;
  }
  writeLine(`Accepted: edit ${edit.editId} at offset ${edit.offset}. In force on: ${inForce.join(', ')}.`);
  if (notSeen.length > 0) {
    writeLine(
      `Could not be asked, or has not read so far: ${notSeen.join(', ')}. It follows when it can read the log or a peer.`,
    );
  }
  return exitCodes.done;
};

const sendEdit: Action = async (client, input) => {
  const [, cell, text] = input.positionals;
  if (cell === undefined || text === undefined) {
    writeError('table set: expected CELL and VALUE, for example: table set row/video-render/weight 2');
    return exitCodes.usage;
  }
  const basedOn = input.values['based-on'];
  const body = {
    cell,
    value: parseValue(text),
    operator: typeof input.values['operator'] === 'string' ? input.values['operator'] : toOperatorName(),
    ...(typeof basedOn === 'string' ? { basedOn: Number(basedOn) } : {}),
  };
  const answer = await client.writeAny<EditAnswer>('/table/edits', body);
  if (!answer.ok) {
    writeError(
      `No answer: ${answer.error}. Look with \`stairline table history\` whether the edit took effect.`,
    );
    return exitCodes.failed;
  }
  if (input.values['json'] === true) {
    writeLine(JSON.stringify(answer.value));
    const isAccepted = answer.value.kind === 'decided' && answer.value.edit.decision === 'accepted';
    return isAccepted ? exitCodes.done : exitCodes.failed;
  }
  return writeEditAnswer(answer.value);
};

const ACTIONS: Readonly<Record<string, Action>> = { show: writeTable, set: sendEdit, history: writeHistory };

/** `stairline table`: the operators' table. */
export const tableCommand: Command = {
  name: 'table',
  summary:
    'Show the table, set a cell (row/NAME/COLUMN, team/NAME/COLUMN; row/NAME adds or, with null, removes a row), or show the edits.',
  usage: 'show|set CELL VALUE|history --settings FILE [--json]',
  options: {
    ...sharedOptions,
    operator: { type: 'string', help: 'name that the edit carries; the login name without it' },
    'based-on': { type: 'string', help: "offset of the cell's last edit that you have seen" },
  },
  start: async (input) => {
    const action = ACTIONS[input.positionals[0] ?? ''];
    if (action === undefined) {
      writeError('table: expected show, set or history.');
      return exitCodes.usage;
    }
    const client = createOperatorClient(input);
    return client === undefined ? exitCodes.usage : action(client, input);
  },
};
