import { readFileSync } from 'node:fs';
import {
  findNodeAtLocation,
  getNodeValue,
  parseTree,
  printParseErrorCode,
  type Node,
  type ParseError,
} from 'jsonc-parser';
import type { Result } from '../common/Result';
import type { RowName } from '../common/RowName';
import { formatError } from '../common/formatError';
import { toId } from '../common/toId';
import { checkRow } from '../table/checkRow';
import { formatTableError } from '../table/formatTableError';
import { formatPath } from './formatPath';
import type { Settings } from './Settings';
import type { SettingsProblem } from './SettingsProblem';
import { settingsSchema } from './settingsSchema';

type Path = readonly PropertyKey[];

const computeLine = (text: string, offset: number): number => text.slice(0, offset).split('\n').length;

/** Returns the line of the value at a path, or of the innermost value that encloses it. */
const findLine = (text: string, root: Node | undefined, path: Path): number => {
  for (let length = path.length; root !== undefined && length >= 0; length -= 1) {
    const node = findNodeAtLocation(root, path.slice(0, length) as (string | number)[]);
    if (node !== undefined) {
      return computeLine(text, node.offset);
    }
  }
  return 1;
};

const createSyntaxProblem = (text: string, error: ParseError): SettingsProblem => ({
  path: '',
  line: computeLine(text, error.offset),
  expected: `JSON with comments: ${printParseErrorCode(error.error)}`,
});

/**
 * Computes the longest seat lease for which a seat has at most one running replica. A delayed renewal may reach the endpoint just
 * before the lease expires, so that the replica runs for up to two leases after its owner became unreachable. The next owner starts
 * only after the failure detector has removed the old owner and the old leases have expired.
 */
const computeMaxSeatLeaseMs = ({ suspectMs, leaseMs, marginMs, heartbeatMs }: Settings['timings']): number =>
  suspectMs + leaseMs + 2 * marginMs - heartbeatMs;

/** Checks constraints across values that the schema cannot express: unique names and addresses, valid rows, and the order of timings. */
const checkConstraints = (settings: Settings): { path: Path; expected: string }[] => {
  const problems: { path: Path; expected: string }[] = [];
  const boxes = settings.entries.map((entry) => entry.box);
  for (const [index, box] of boxes.entries()) {
    if (boxes.indexOf(box) !== index) {
      problems.push({
        path: ['entries', index, 'box'],
        expected: `a unique box name (${box} is already in use)`,
      });
    }
  }
  const addresses = settings.entries.flatMap((entry) => [entry.callers, entry.operators, entry.peers]);
  for (const [index, entry] of settings.entries.entries()) {
    for (const name of ['callers', 'operators', 'peers'] as const) {
      if (addresses.filter((used) => used === entry[name]).length > 1) {
        problems.push({
          path: ['entries', index, name],
          expected: `a unique address (${entry[name]} is used more than once)`,
        });
      }
    }
  }
  for (const [name, columns] of Object.entries(settings.rows)) {
    const row = checkRow(toId<RowName>(name), columns);
    if (!row.ok) {
      problems.push({ path: ['rows', name], expected: formatTableError(row.error) });
    }
  }
  if (settings.timings.suspectMs < settings.timings.leaseMs + settings.timings.marginMs) {
    problems.push({ path: ['timings', 'suspectMs'], expected: 'at least leaseMs + marginMs' });
  }
  if (settings.timings.heartbeatMs * 2 >= settings.timings.leaseMs) {
    problems.push({ path: ['timings', 'heartbeatMs'], expected: 'less than half of leaseMs' });
  }
  const maxSeatLeaseMs = computeMaxSeatLeaseMs(settings.timings);
  if (settings.timings.seatLeaseMs > maxSeatLeaseMs) {
    const expected = `at most suspectMs + leaseMs + 2 * marginMs - heartbeatMs (${maxSeatLeaseMs})`;
    problems.push({ path: ['timings', 'seatLeaseMs'], expected });
  }
  return problems;
};

/** Reads and validates a settings file. On failure returns all problems with their paths and lines. */
export const readSettings = (file: string): Result<Settings, readonly SettingsProblem[]> => {
  let text: string;
  try {
    text = readFileSync(file, 'utf8');
  } catch (thrown) {
    return { ok: false, error: [{ path: '', line: 0, expected: `a readable file: ${formatError(thrown)}` }] };
  }
  const syntaxErrors: ParseError[] = [];
  const root = parseTree(text, syntaxErrors, { allowTrailingComma: true });
  if (root === undefined || syntaxErrors.length > 0) {
    return { ok: false, error: syntaxErrors.map((error) => createSyntaxProblem(text, error)) };
  }
  const parsed = settingsSchema.safeParse(getNodeValue(root));
  if (!parsed.success) {
    const problems = parsed.error.issues.map((issue) => {
      const unknownKey = issue.code === 'unrecognized_keys' ? issue.keys[0] : undefined;
      const path = unknownKey === undefined ? issue.path : [...issue.path, unknownKey];
      return { path: formatPath(path), line: findLine(text, root, path), expected: issue.message };
    });
    return { ok: false, error: problems };
  }
  const problems = checkConstraints(parsed.data).map((problem) => ({
    path: formatPath(problem.path),
    line: findLine(text, root, problem.path),
    expected: problem.expected,
  }));
  return problems.length === 0 ? { ok: true, value: parsed.data } : { ok: false, error: problems };
};
