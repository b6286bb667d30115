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

interface TableResponse {
  readonly offset: number;
  /** True when the table comes from the log or a peer, false when from the settings alone. */
  readonly isShared: boolean;
  /** Workloads of the operators' table. */
  readonly rows: readonly Row[];
  readonly teams: readonly Team[];
}

type TableAction = (client: OperatorClient, input: CommandInput) => Promise<number>;

/** Parses a value as JSON, or returns the text itself when it is not JSON. */
const parseCellValue = (text: string): CellValue => {
  try {
    return JSON.parse(text) as CellValue;
  } catch {
    return text;
  }
};

/**
 * Returns the login name in the form of an operator's name: lower case, other characters as dashes, and a prefix unless it begins with a
 * letter.
 */
const getOperatorName = (): string => {
  const name = userInfo()
    .username.toLowerCase()
    .replace(/[^a-z0-9-]/g, '-');
  return /^[a-z]/.test(name) ? name : `op-${name}`;
};

const writeTable: TableAction = async (client, input) => {
  const response = await client.requestFromAny<TableResponse>('/table');
  if (!response.ok) {
    writeError(`No entry box responds: ${response.error}.`);
    return exitCodes.failed;
  }
  const table = response.value;
  if (input.values['json'] === true) {
    writeLine(JSON.stringify(table));
    return exitCodes.done;
  }
  const origin = table.isShared
    ? `offset ${table.offset}`
    : 'from the settings alone: neither the log nor a peer has been read yet';
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

const writeHistory: TableAction = async (client, input) => {
  const response = await client.requestFromAny<{ history: readonly AppliedEdit[] }>('/table/history');
  if (!response.ok) {
    writeError(`No entry box responds: ${response.error}.`);
    return exitCodes.failed;
  }
  if (input.values['json'] === true) {
    writeLine(JSON.stringify(response.value.history));
    return exitCodes.done;
  }
  const lines = response.value.history.map((edit) => [
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

const writeEditResult = (result: EditAnswer): number => {
  switch (result.kind) {
    case 'refused':
      writeError(`The edit was refused before it was appended: ${result.reason}.`);
      return exitCodes.failed;
    case 'unknown':
      writeError(
        `Unknown result: ${result.reason} Look for edit ${result.editId} in \`stairline table history\`.`,
      );
      return exitCodes.failed;
    case 'decided':
      break;
  }
  const { edit, inForce, notSeen } = result;
  if (edit.decision === 'refused') {
    writeError(`Refused at offset ${edit.offset}: ${edit.reason}.`);
    return exitCodes.failed;
  }
  writeLine(`Accepted: edit ${edit.editId} at offset ${edit.offset}. In force on: ${inForce.join(', ')}.`);
  if (notSeen.length > 0) {
    writeLine(
      `Unreachable or behind: ${notSeen.join(', ')}. They apply the edit once they can read the log or a peer.`,
    );
  }
  return exitCodes.done;
};

const sendEdit: TableAction = async (client, input) => {
  const [, cell, text] = input.positionals;
  if (cell === undefined || text === undefined) {
    writeError('table set: expected CELL and VALUE, for example: table set row/video-render/weight 2');
    return exitCodes.usage;
  }
  const basedOn = input.values['based-on'];
  const body = {
    cell,
    value: parseCellValue(text),
    operator: typeof input.values['operator'] === 'string' ? input.values['operator'] : getOperatorName(),
    ...(typeof basedOn === 'string' ? { basedOn: Number(basedOn) } : {}),
  };
  const response = await client.sendToAny<EditAnswer>('/table/edits', body);
  if (!response.ok) {
    writeError(
      `No response: ${response.error}. Check with \`stairline table history\` whether the edit was applied.`,
    );
    return exitCodes.failed;
  }
  if (input.values['json'] === true) {
    writeLine(JSON.stringify(response.value));
    const isAccepted = response.value.kind === 'decided' && response.value.edit.decision === 'accepted';
    return isAccepted ? exitCodes.done : exitCodes.failed;
  }
  return writeEditResult(response.value);
};

const TABLE_ACTIONS: Readonly<Record<string, TableAction>> = {
  show: writeTable,
  set: sendEdit,
  history: writeHistory,
};

/** `stairline table`: shows and edits the operators' table. */
export const tableCommand: Command = {
  name: 'table',
  summary:
    'Show the table, set a cell (row/NAME/COLUMN, team/NAME/COLUMN; row/NAME adds or, with null, removes a row), or show the edits.',
  usage: 'show|set CELL VALUE|history --settings FILE [--json]',
  options: {
    ...sharedOptions,
    operator: { type: 'string', help: 'operator recorded with the edit (default: the login name)' },
    'based-on': {
      type: 'string',
      help: "offset of the cell's last known edit; refused when there is a newer one",
    },
  },
  run: async (input) => {
    const action = TABLE_ACTIONS[input.positionals[0] ?? ''];
    if (action === undefined) {
      writeError('table: expected show, set or history.');
      return exitCodes.usage;
    }
    const client = createOperatorClient(input);
    return client === undefined ? exitCodes.usage : action(client, input);
  },
};
