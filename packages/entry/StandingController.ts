import { Backoff } from '../common/Backoff';
import type { HallId } from '../common/HallId';
import type { ProcessId } from '../common/ProcessId';
import type { RequestId } from '../common/RequestId';
import type { RowName } from '../common/RowName';
import { toId } from '../common/toId';
import type { UnitId } from '../common/UnitId';
import type { Holding } from '../ownership/Holding';
import type { Ownership } from '../ownership/Ownership';
import { OWNERSHIP } from '../ownership/constants';
import { toRanking } from '../ownership/toRanking';
import type { Row } from '../table/Row';
import type { TableState } from '../table/TableState';
import type { EntryContext } from './EntryContext';
import type { JobController } from './JobController';
import type { JobEnd } from './JobEnd';

interface StandingControllerOptions {
  readonly context: EntryContext;
  readonly ownership: Ownership;
  readonly jobs: JobController;
  readonly readTable: () => TableState;
}

interface Seat {
  readonly unit: UnitId;
  readonly row: RowName;
  readonly backoff: Backoff;
  job: RequestId | undefined;
  /** The spell of ownership in which the job was started. */
  grant: number;
  renewedAt: number;
  isRenewing: boolean;
  notBefore: number;
  attempt: number;
}

const TICK_MS = 250;
/** A lease is renewed when this part of it has gone. */
const RENEW_PART = 1 / 3;
const RESTART_BASE_MS = 200;
const RESTART_MAX_MS = 10_000;

/** Keeps the replicas of standing rows running: those whose seat the hall's view gives to this process. */
export class StandingController {
  private readonly seats = new Map<UnitId, Seat>();
  private timer: NodeJS.Timeout | undefined;
  private wanted: ReadonlyMap<UnitId, Row> = new Map();
  private wantedOf: TableState | undefined;

  constructor(private readonly options: StandingControllerOptions) {}

  start(): void {
    this.timer = setInterval(() => this.applyTime(), TICK_MS);
  }

  /** Ends the replicas of this process by plan; their next owners start them again. */
  async stop(): Promise<void> {
    clearInterval(this.timer);
    await Promise.all([...this.seats.values()].map((seat) => this.stopSeat(seat)));
  }

  /** What this process may still have running for a seat. */
  readHoldings(unit: UnitId): readonly Holding[] {
    const job = this.seats.get(unit)?.job;
    return job === undefined ? [] : this.options.jobs.readHoldings([job]);
  }

  /** Replicas running here, per row. */
  readRunning(): ReadonlyMap<RowName, number> {
    const counts = new Map<RowName, number>();
    for (const seat of this.seats.values()) {
      if (seat.job !== undefined && this.options.jobs.isPlaced(seat.job)) {
        counts.set(seat.row, (counts.get(seat.row) ?? 0) + 1);
      }
    }
    return counts;
  }

  private applyTime(): void {
    const wanted = this.readWantedSeats();
    this.options.ownership.applyKnownUnits([...wanted.keys()]);
    for (const [unit, row] of wanted) {
      this.applySeat(this.readSeat(unit, row.name), row);
    }
    for (const [unit, seat] of this.seats) {
      if (!wanted.has(unit)) {
        void this.stopSeat(seat);
      }
    }
  }

  /** The seats whose home is this hall. Worked out anew only when the table has changed. */
  private readWantedSeats(): ReadonlyMap<UnitId, Row> {
    const table = this.options.readTable();
    if (this.wantedOf !== table) {
      this.wantedOf = table;
      this.wanted = this.createWantedSeats(table);
    }
    return this.wanted;
  }

  /** Each replica has one home hall: the first by hash of the row over the configured halls, then the others in turn. */
  private createWantedSeats(table: TableState): ReadonlyMap<UnitId, Row> {
    const { settings, hall } = this.options.context;
    const halls = [...new Set(settings.entries.map((entry) => entry.hall))].map((name) =>
      toId<ProcessId>(name),
    );
    const wanted = new Map<UnitId, Row>();
    const standing = [...table.rows.values()].filter((row) => row.replicas > 0);
    for (const row of standing) {
      const ranking = toRanking(toId<UnitId>(`${OWNERSHIP.seatPrefix}${row.name}`), halls);
      for (let replica = 0; replica < row.replicas; replica += 1) {
        if (toId<HallId>(ranking[replica % ranking.length] ?? '') === hall) {
          wanted.set(toId<UnitId>(`${OWNERSHIP.seatPrefix}${row.name}/${replica}`), row);
        }
      }
    }
    return wanted;
  }

  private readSeat(unit: UnitId, row: RowName): Seat {
    const known = this.seats.get(unit);
    if (known !== undefined) {
      return known;
    }
    const { random } = this.options.context;
    const seat: Seat = {
      unit,
      row,
      backoff: new Backoff({ baseMs: RESTART_BASE_MS, maxMs: RESTART_MAX_MS, random }),
      job: undefined,
      grant: 0,
      renewedAt: 0,
      isRenewing: false,
      notBefore: 0,
      attempt: 0,
    };
    this.seats.set(unit, seat);
    return seat;
  }

  private applySeat(seat: Seat, row: Row): void {
    const { ownership, context } = this.options;
    const now = context.clock.getNow();
    const grant = ownership.readGrant(seat.unit);
    if (seat.job !== undefined && grant !== seat.grant) {
      void this.stopSeat(seat);
      return;
    }
    if (!this.hasRight(seat.unit)) {
      return;
    }
    const isFree = ownership.readForeignCount(seat.unit) === 0;
    if (seat.job === undefined && isFree && now >= seat.notBefore) {
      this.startSeat(seat, row, grant ?? 0);
    } else if (seat.job !== undefined) {
      void this.renewSeat(seat);
    }
  }

  private hasRight(unit: UnitId): boolean {
    const now = this.options.context.clock.getNow();
    return this.options.ownership.readRight(unit, now) === 'granted';
  }

  /** True while the right is that of one spell of ownership: what was started in another is not ours any more. */
  private hasRightUnder(unit: UnitId, grant: number): boolean {
    return this.hasRight(unit) && this.options.ownership.readGrant(unit) === grant;
  }

  private startSeat(seat: Seat, row: Row, grant: number): void {
    const { clock, settings } = this.options.context;
    const now = clock.getNow();
    seat.attempt += 1;
    seat.grant = grant;
    seat.renewedAt = now;
    const id = toId<RequestId>(`${seat.unit}/${seat.attempt}`);
    seat.job = id;
    this.options.jobs.queueJob({
      id,
      row: row.name,
      team: row.team,
      arrivedAt: now,
      deadlineAt: Infinity,
      callerRequest: seat.unit,
      body: Buffer.alloc(0),
      headers: { 'x-run-ms': 'standing' },
      leaseMs: settings.timings.seatLeaseMs,
      hasRight: () => this.hasRightUnder(seat.unit, grant),
      handleEnd: (end) => this.handleEnd(seat, id, end),
    });
  }

  private async renewSeat(seat: Seat): Promise<void> {
    const { clock, settings } = this.options.context;
    const { seatLeaseMs } = settings.timings;
    const isDue = clock.getNow() >= seat.renewedAt + seatLeaseMs * RENEW_PART;
    if (!isDue || seat.isRenewing || seat.job === undefined || !this.options.jobs.isPlaced(seat.job)) {
      return;
    }
    seat.isRenewing = true;
    const askedAt = clock.getNow();
    const hasRight = () => this.hasRightUnder(seat.unit, seat.grant);
    const status = await this.options.jobs.renewJob(seat.job, seatLeaseMs, hasRight);
    seat.isRenewing = false;
    if (status === 200) {
      seat.renewedAt = askedAt;
      seat.backoff.recordSuccess();
    }
  }

  private async stopSeat(seat: Seat): Promise<void> {
    if (seat.job === undefined) {
      return;
    }
    if (this.options.jobs.revokeJob(seat.job)) {
      seat.job = undefined;
      return;
    }
    await this.options.jobs.stopJob(seat.job);
  }

  private handleEnd(seat: Seat, id: RequestId, end: JobEnd): void {
    if (seat.job !== id || end.kind === 'unknown') {
      // While it may still run somewhere the seat stays taken; `drained` follows.
      return;
    }
    const { clock, timeline } = this.options.context;
    timeline.recordEvent({
      part: 'standing',
      kind: 'replica ended',
      detail: { seat: seat.unit, how: end.kind },
    });
    seat.job = undefined;
    seat.notBefore = clock.getNow() + seat.backoff.computeNextDelay();
  }
}
