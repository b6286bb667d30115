import type { ProcessId } from '../../packages/common/ProcessId';
import { toId } from '../../packages/common/toId';
import type { UnitId } from '../../packages/common/UnitId';
import type { HallRecord } from '../../packages/ownership/HallRecord';
import type { Holding } from '../../packages/ownership/Holding';
import { Ownership } from '../../packages/ownership/Ownership';
import type { OwnershipRules } from '../../packages/ownership/OwnershipRules';
import { toRanking } from '../../packages/ownership/toRanking';
import type { UnitRight } from '../../packages/ownership/UnitRight';

/** Times of the bench, in milliseconds. */
export const BENCH_TIMINGS = {
  leaseMs: 1000,
  marginMs: 200,
  suspectMs: 1300,
  longestTaskMs: 60_000,
  seatLeaseMs: 5000,
};

/** A hall of processes that a test moves by hand: a log, a clock, and calls that happen when the test says so. */
export class HallBench {
  now = 0;
  first = 0;
  readonly log: HallRecord[] = [];
  readonly holdings = new Map<string, Holding[]>();
  private readonly processes = new Map<string, Ownership>();

  constructor(
    private readonly rules: Partial<OwnershipRules>,
    private readonly standard: OwnershipRules,
    readonly unit: UnitId = toId<UnitId>('worker/w'),
  ) {}

  startProcess(name: string): Ownership {
    const ownership = new Ownership({
      self: toId<ProcessId>(name),
      timings: BENCH_TIMINGS,
      rules: { ...this.standard, ...this.rules },
      readOwnHoldings: () => this.holdings.get(name) ?? [],
    });
    ownership.applyKnownUnits([this.unit]);
    this.processes.set(name, ownership);
    return ownership;
  }

  readProcess(name: string): Ownership {
    const found = this.processes.get(name);
    if (found === undefined) {
      throw new Error(`no process ${name}`);
    }
    return found;
  }

  /** One reads the log to its end. */
  handleRead(name: string): void {
    const process = this.readProcess(name);
    const from = Math.max(process.readNextOffset(), this.first);
    const records = this.log.slice(from).map((record, index) => ({ offset: from + index, record }));
    process.applyLogRead({ askedAt: this.now, records, tail: this.log.length, first: this.first }, this.now);
  }

  /** One asks another and gets the answer. */
  handleTalk(from: string, to: string): void {
    const asking = this.readProcess(from);
    const answer = this.readProcess(to).handleQuestion(
      asking.createMessage(this.now, toId<ProcessId>(to)),
      this.now,
    );
    asking.handleAnswer(answer, this.now, this.now);
  }

  /** One's wish for a view lands in the log. Returns false when it wants none. */
  appendProposal(name: string): boolean {
    const view = this.readProcess(name).createProposal(this.now);
    if (view === undefined) {
      return false;
    }
    this.log.push({ kind: 'view', view, proposer: toId<ProcessId>(name) });
    return true;
  }

  /** A worker's report, taken now, reaches one. */
  handleReport(name: string): void {
    this.readProcess(name).applyReport(this.unit, { ageMs: 0, tasks: [] }, this.now, this.now);
  }

  readRight(name: string): UnitRight {
    this.readProcess(name).applyTime(this.now);
    return this.readProcess(name).readRight(this.unit, this.now);
  }

  /** All read the log and talk to one another. */
  handleRound(names: readonly string[]): void {
    for (const name of names) {
      this.handleRead(name);
    }
    for (const from of names) {
      for (const to of names.filter((other) => other !== from)) {
        this.handleTalk(from, to);
      }
    }
  }

  /** Brings processes into one view and lets the owner settle; returns the owner's name. */
  startHall(names: readonly string[]): string {
    for (const name of names) {
      this.startProcess(name);
      this.handleRead(name);
      this.appendProposal(name);
    }
    for (let round = 0; round < 20; round += 1) {
      this.now += 200;
      this.handleRound(names);
      names.forEach((name) => this.handleReport(name));
    }
    const ranking = toRanking(
      this.unit,
      names.map((name) => toId<ProcessId>(name)),
    );
    return ranking[0] ?? '';
  }
}
