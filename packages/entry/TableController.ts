import { randomUUID } from 'node:crypto';
import { Backoff } from '../common/Backoff';
import type { EditId } from '../common/EditId';
import type { RowName } from '../common/RowName';
import { waitForDelay } from '../common/waitForDelay';
import type { TeamName } from '../common/TeamName';
import { toId } from '../common/toId';
import type { TableAnswer } from '../peers/TableAnswer';
import { formatPlatformError } from '../platform/formatPlatformError';
import type { LogPage } from '../platform/LogPage';
import type { PlatformClient } from '../platform/PlatformClient';
import { StreamReader } from '../platform/StreamReader';
import { streams } from '../platform/streams';
import type { AppliedEdit } from '../table/AppliedEdit';
import { checkEdit } from '../table/checkEdit';
import { TABLE_LIMITS } from '../table/constants';
import { createSnapshot } from '../table/createSnapshot';
import { createTable } from '../table/createTable';
import type { Edit } from '../table/Edit';
import { formatTableError } from '../table/formatTableError';
import { parseTableRecord } from '../table/parseTableRecord';
import type { Row } from '../table/Row';
import { TableFold } from '../table/TableFold';
import type { TableState } from '../table/TableState';
import type { EditRequest } from './EditRequest';
import type { EntryContext } from './EntryContext';

interface TableControllerOptions {
  readonly context: EntryContext;
  readonly client: PlatformClient;
  /** Told after the table in force has changed. */
  readonly handleChange: () => void;
}

/** How an edit was decided, or why that is not known. */
type EditDecision =
  | { readonly kind: 'decided'; readonly edit: AppliedEdit }
  | { readonly kind: 'refused'; readonly reason: string }
  | { readonly kind: 'unknown'; readonly editId: string; readonly reason: string };

const APPEND_TRIES = 4;
const DECISION_WAIT_MS = 2500;
const POLL_MS = 20;

/** Owns the table of this process: follows the log, takes edits, appends snapshots. */
export class TableController {
  private readonly fold: TableFold;
  private readonly reader: StreamReader;
  private readonly stream;
  private readonly logger;
  private lastOffset = -1;
  private lastSnapshotOffset = -1;
  private lastSnapshotAt: number;
  private isAppending = false;
  private isLogAnswering = false;

  constructor(private readonly options: TableControllerOptions) {
    const { settings, clock, random, createPartLogger } = options.context;
    const rows = Object.entries(settings.rows).map(
      ([name, row]) => ({ name: toId<RowName>(name), ...row }) as Row,
    );
    const teams = Object.entries(settings.teams).map(([name, team]) => ({
      name: toId<TeamName>(name),
      ...team,
    }));
    this.fold = new TableFold(createTable({ rows, teams }));
    this.stream = streams.toTableStream(settings.cell);
    this.logger = createPartLogger('table');
    this.lastSnapshotAt = clock.getNow();
    this.reader = new StreamReader({
      client: options.client,
      stream: this.stream,
      waitMs: settings.timings.tablePollMs,
      random,
      readNextOffset: () => this.fold.readNextOffset(),
      handlePage: (page) => this.handlePage(page),
      handleError: (error) => this.handleReadError(formatPlatformError(error)),
    });
  }

  start(): void {
    void this.reader.start();
  }

  stop(): void {
    this.reader.stop();
  }

  readTable(): TableState {
    return this.fold.readTable();
  }

  /** True while the last read of the log was answered. */
  hasLog(): boolean {
    return this.isLogAnswering;
  }

  /** What a peer that knows the table up to `after` lacks. */
  readForPeer(after: number): TableAnswer {
    const table = this.fold.readTable();
    if (!table.isShared || table.offset <= after) {
      return { kind: 'nothing' };
    }
    const records = this.fold.readSince(after);
    return records === undefined
      ? { kind: 'snapshot', snapshot: createSnapshot(table) }
      : { kind: 'records', records };
  }

  /** Applies what a peer knows; what is known already changes nothing. */
  applyPeerAnswer(answer: TableAnswer): void {
    if (answer.kind === 'records') {
      this.fold.applyRecords(answer.records);
    } else if (answer.kind === 'snapshot') {
      this.fold.applyPeerSnapshot(answer.snapshot);
    }
    this.handleFolded();
  }

  /** Takes an edit through the log and returns the fold's decision. */
  async writeEdit(request: EditRequest): Promise<EditDecision> {
    const table = this.readTable();
    const basedOn = request.basedOn ?? table.cells.get(request.cell)?.offset ?? -1;
    const editId = toId<EditId>(randomUUID());
    const { cell, value, operator } = request;
    const edit: Edit = { kind: 'edit', editId, cell, value, basedOn, operator };
    const checked = checkEdit(table, edit);
    if (!checked.ok) {
      return { kind: 'refused', reason: formatTableError(checked.error) };
    }
    return this.appendEdit(edit);
  }

  /** Appends a snapshot when many edits, or much time, lie behind the last one. Call it now and then. */
  async applyTime(): Promise<void> {
    const { clock, random, settings } = this.options.context;
    const table = this.readTable();
    const editCount = table.offset - this.lastSnapshotOffset;
    const ageMs = clock.getNow() - this.lastSnapshotAt;
    // Processes wait unlike times, so that as a rule one appends and the others see it.
    const isDue =
      editCount >= TABLE_LIMITS.editsPerSnapshot * (1 + random()) ||
      ageMs > settings.timings.standingRenewMs * (1 + random());
    if (table.isShared && isDue && this.isLogAnswering) {
      await this.appendSnapshot();
    }
  }

  private async appendEdit(edit: Edit): Promise<EditDecision> {
    const { random } = this.options.context;
    const backoff = new Backoff({ baseMs: 100, maxMs: 1000, random });
    let reason = 'no decision in time';
    for (let attempt = 0; attempt < APPEND_TRIES; attempt += 1) {
      const appended = await this.options.client.appendRecord(this.stream, edit);
      if (!appended.ok) {
        reason = formatPlatformError(appended.error);
      }
      // After a lost answer the edit is looked for by its id before it is appended again.
      const decided = await this.readDecision(
        edit.editId,
        appended.ok ? DECISION_WAIT_MS : DECISION_WAIT_MS / 5,
      );
      if (decided !== undefined) {
        return { kind: 'decided', edit: decided };
      }
      await waitForDelay(backoff.computeNextDelay());
    }
    return { kind: 'unknown', editId: edit.editId, reason };
  }

  private async readDecision(editId: EditId, waitMs: number): Promise<AppliedEdit | undefined> {
    const { clock } = this.options.context;
    const until = clock.getNow() + waitMs;
    while (clock.getNow() < until) {
      const decided = this.readTable().history.find((past) => past.editId === editId);
      if (decided !== undefined) {
        return decided;
      }
      await waitForDelay(POLL_MS);
    }
    return undefined;
  }

  private handlePage(page: LogPage): void {
    this.isLogAnswering = true;
    this.fold.applyTrim(page.first);
    const records = page.records.map(({ offset, value }) => ({ offset, record: parseTableRecord(value) }));
    this.fold.applyRecords(records);
    for (const { offset, record } of records) {
      if (record.kind === 'snapshot') {
        this.lastSnapshotOffset = offset;
        this.lastSnapshotAt = this.options.context.clock.getNow();
      }
    }
    this.handleFolded();
    const isEmptyLog = page.first === 0 && page.tail === 0;
    if (isEmptyLog && !this.readTable().isShared) {
      void this.appendSnapshot();
    }
  }

  private handleFolded(): void {
    const table = this.readTable();
    if (table.offset === this.lastOffset) {
      return;
    }
    const newer = table.history.filter((edit) => edit.offset > this.lastOffset);
    for (const { cell, decision, offset } of newer) {
      this.options.context.timeline.recordEvent({
        part: 'table',
        kind: `edit ${decision}`,
        detail: { cell, offset },
      });
    }
    this.lastOffset = table.offset;
    this.options.handleChange();
  }

  private handleReadError(sentence: string): void {
    if (this.isLogAnswering) {
      this.logger.warn(sentence);
    }
    this.isLogAnswering = false;
  }

  private async appendSnapshot(): Promise<void> {
    if (this.isAppending) {
      return;
    }
    this.isAppending = true;
    const appended = await this.options.client.appendRecord(this.stream, createSnapshot(this.readTable()));
    this.isAppending = false;
    if (!appended.ok) {
      this.logger.warn(formatPlatformError(appended.error));
    }
  }
}
