import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import type { EditId } from '../packages/common/EditId';
import type { RowName } from '../packages/common/RowName';
import { toId } from '../packages/common/toId';
import type { CellValue } from '../packages/table/CellValue';
import { checkEdit } from '../packages/table/checkEdit';
import { createSnapshot } from '../packages/table/createSnapshot';
import { createTable } from '../packages/table/createTable';
import type { Edit } from '../packages/table/Edit';
import type { LoggedRecord } from '../packages/table/LoggedRecord';
import { parseTableRecord } from '../packages/table/parseTableRecord';
import { TableFold } from '../packages/table/TableFold';
import type { TableRecord } from '../packages/table/TableRecord';
import { createRow } from './helpers/createRow';

const ROW = createRow('tile-proof');
const CELL = 'row/tile-proof/weight';

const createEdit = (id: string, value: CellValue, basedOn: number, cell = CELL): Edit => ({
  kind: 'edit',
  editId: toId<EditId>(id),
  cell,
  value,
  basedOn,
  operator: 'anna',
});

const createSeed = (): TableRecord => createSnapshot(createTable({ rows: [ROW], teams: [] }));

const toLog = (records: readonly TableRecord[]): LoggedRecord[] =>
  records.map((record, offset) => ({ offset, record }));

const createFold = (): TableFold => new TableFold(createTable({ rows: [ROW], teams: [] }));

const readWeight = (fold: TableFold): number | undefined =>
  fold.readTable().rows.get(toId<RowName>('tile-proof'))?.weight;

describe('the table', () => {
  it('gives a race one winner and tells the loser which edit beat it', () => {
    const fold = createFold();
    fold.applyRecords(toLog([createSeed(), createEdit('first', 2, -1), createEdit('second', 3, -1)]));
    expect(readWeight(fold)).toBe(2);
    const [, second] = fold.readTable().history;
    expect(second).toMatchObject({
      decision: 'refused',
      reason: expect.stringContaining('edit first of anna at offset 1'),
    });
  });

  it('keeps the first decision when a retried append lands twice', () => {
    const fold = createFold();
    const refusedFirst = createEdit('twice', 5, -1, 'row/new-row/weight');
    const newRow = createEdit('new', { class: 'batch', team: 'members' }, -1, 'row/new-row');
    fold.applyRecords(toLog([createSeed(), refusedFirst, newRow, refusedFirst]));
    expect(fold.readTable().rows.get(toId<RowName>('new-row'))?.weight).toBe(1);
  });

  it('comes to the same table from a snapshot, also when a refused edit lands again after it', () => {
    const whole = createFold();
    const refusedFirst = createEdit('twice', 5, -1, 'row/new-row/weight');
    const newRow = createEdit('new', { class: 'batch', team: 'members' }, -1, 'row/new-row');
    const before = toLog([createSeed(), refusedFirst, newRow]);
    whole.applyRecords(before);
    const snapshot = { offset: 3, record: createSnapshot(whole.readTable()) };
    const late = { offset: 4, record: refusedFirst };
    whole.applyRecords([snapshot, late]);
    const fresh = createFold();
    fresh.applyTrim(2);
    fresh.applyRecords([{ offset: 2, record: newRow }, snapshot, late]);
    expect(createSnapshot(fresh.readTable())).toEqual(createSnapshot(whole.readTable()));
  });

  it('uses no snapshot after which a record is missing', () => {
    const fold = createFold();
    const old = { ...createSeed(), asOf: 3 } as TableRecord;
    fold.applyTrim(10);
    fold.applyRecords([{ offset: 10, record: old }]);
    expect(fold.readTable().isShared).toBe(false);
  });

  it('never goes back: an older snapshot of a peer changes nothing', () => {
    const fold = createFold();
    fold.applyRecords(toLog([createSeed(), createEdit('a', 2, -1)]));
    const older = createFold();
    older.applyRecords(toLog([createSeed()]));
    expect(fold.applyPeerSnapshot(createSnapshot(older.readTable()))).toBe(false);
    expect(readWeight(fold)).toBe(2);
  });

  it('ends the same however the records come: whole, in parts, doubled, through a peer', () => {
    const values = fc.array(
      fc.record({ value: fc.integer({ min: -2, max: 5 }), basedOn: fc.integer({ min: -1, max: 12 }) }),
      { maxLength: 12 },
    );
    const property = fc.property(values, fc.array(fc.nat({ max: 12 }), { maxLength: 8 }), (edits, cuts) => {
      const records = toLog([
        createSeed(),
        ...edits.map((edit, index) => createEdit(`e${index}`, edit.value, edit.basedOn)),
      ]);
      const whole = createFold();
      whole.applyRecords(records);
      const parts = createFold();
      for (const cut of cuts) {
        parts.applyRecords(records.slice(0, cut));
        parts.applyRecords(records.slice(Math.floor(cut / 2), cut + 1));
      }
      parts.applyRecords(whole.readSince(parts.readNextOffset() - 1) ?? records);
      expect(createSnapshot(parts.readTable())).toEqual(createSnapshot(whole.readTable()));
    });
    fc.assert(property, { seed: 3, numRuns: 200 });
  });

  it.each([
    ['row/tile-proof/weight', 'heavy', 'badValue'],
    ['row/tile-proof/colour', 1, 'unknownCell'],
    ['row/nobody/weight', 1, 'unknownCell'],
    ['tile-proof', 1, 'unknownCell'],
    ['row/tile-proof/expectedMs', 100_000, 'rule'],
    ['row/tile-proof/replicas', 2, 'rule'],
    ['row/tile-proof', { class: 'batch', team: 'members' }, 'rule'],
    ['team/members/maxRunning', -1, 'badValue'],
  ])('refuses %s = %j', (cell, value, kind) => {
    const table = createTable({ rows: [ROW], teams: [] });
    expect(checkEdit(table, createEdit('x', value as CellValue, -1, cell))).toMatchObject({
      ok: false,
      error: { kind },
    });
  });

  it('keeps its place over a record that it does not understand', () => {
    const fold = createFold();
    fold.applyRecords(toLog([createSeed(), parseTableRecord({ kind: 'riddle' }), createEdit('a', 4, -1)]));
    expect(readWeight(fold)).toBe(4);
  });
});
