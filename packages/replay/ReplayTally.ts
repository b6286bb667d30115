import { build, type Histogram } from 'hdr-histogram-js';
import { demandMath } from '../scheduler/demandMath';
import type { SchedulerEffect } from '../scheduler/SchedulerEffect';
import type { Demand } from '../table/Demand';
import { DecisionDigest } from './DecisionDigest';
import type { ReplayResult } from './ReplayResult';

interface RowTally {
  requests: number;
  placed: number;
  refused: number;
  late: number;
  good: number;
  readonly waits: Histogram;
}

const MICROS = 1000;
const toRounded = (value: number): number => Math.round(value * 10_000) / 10_000;

/** Gathers the figures of a replay. */
export class ReplayTally {
  private readonly digest = new DecisionDigest();
  private readonly rows = new Map<string, RowTally>();
  private readonly capacities = new Map<string, Demand>();
  private readonly runningOn = new Map<string, number>();
  private used: Demand = demandMath.NOTHING;
  private usedWhileWaiting: Demand = demandMath.NOTHING;
  private waitingMs = 0;
  private busyWorkerMs = 0;
  private runningMs = 0;
  private lastAt = 0;
  private waiting = 0;
  events = 0;
  placements = 0;
  preemptions = 0;
  refusals = 0;
  sentOn = 0;

  recordRequest(row: string): void {
    this.readRow(row).requests += 1;
  }

  recordCapacity(worker: string, capacity: Demand): void {
    this.capacities.set(worker, capacity);
  }

  /** Lets time pass up to `at`, with the number of requests that wait from now on. */
  recordTime(at: number, waiting: number): void {
    const passed = at - this.lastAt;
    if (this.waiting > 0) {
      this.waitingMs += passed;
      this.usedWhileWaiting = demandMath.toSum(this.usedWhileWaiting, demandMath.toScaled(this.used, passed));
    }
    if (this.runningOn.size > 0) {
      this.runningMs += passed;
      this.busyWorkerMs += passed * this.runningOn.size;
    }
    this.lastAt = at;
    this.waiting = waiting;
  }

  recordEffect(effect: SchedulerEffect, at: number): void {
    this.digest.recordEffect(effect, at);
    this.preemptions += effect.kind === 'yield' ? 1 : 0;
    this.refusals += effect.kind === 'refuse' ? 1 : 0;
  }

  recordPlaced(row: string, worker: string, need: Demand, waitedMs: number): void {
    const tally = this.readRow(row);
    tally.placed += 1;
    tally.waits.recordValue(Math.round(waitedMs * MICROS));
    this.placements += 1;
    this.used = demandMath.toSum(this.used, need);
    this.runningOn.set(worker, (this.runningOn.get(worker) ?? 0) + 1);
  }

  recordFreed(worker: string, need: Demand): void {
    this.used = demandMath.toDifference(this.used, need);
    const left = (this.runningOn.get(worker) ?? 1) - 1;
    if (left === 0) {
      this.runningOn.delete(worker);
    } else {
      this.runningOn.set(worker, left);
    }
  }

  recordRefused(row: string): void {
    this.readRow(row).refused += 1;
  }

  recordEnded(row: string, isLate: boolean): void {
    const tally = this.readRow(row);
    tally.late += isLate ? 1 : 0;
    tally.good += isLate ? 0 : 1;
  }

  /** Creates the result; call it once, at the end. */
  createResult(policy: string): ReplayResult {
    const total = [...this.capacities.values()].reduce(demandMath.toSum, demandMath.NOTHING);
    const toPart = (used: number, capacity: number) =>
      capacity === 0 || this.waitingMs === 0 ? 0 : toRounded(used / capacity / this.waitingMs);
    const { cpus, memoryMb, accelerators, slots } = this.usedWhileWaiting;
    return {
      policy,
      events: this.events,
      placements: this.placements,
      preemptions: this.preemptions,
      refusals: this.refusals,
      sentOn: this.sentOn,
      rows: [...this.rows].map(([row, tally]) => ({
        row,
        requests: tally.requests,
        placed: tally.placed,
        refused: tally.refused,
        late: tally.late,
        good: tally.good,
        waitP50Ms: tally.waits.getValueAtPercentile(50) / MICROS,
        waitP99Ms: tally.waits.getValueAtPercentile(99) / MICROS,
        waitMaxMs: tally.waits.maxValue / MICROS,
      })),
      packing: {
        cpus: toPart(cpus, total.cpus),
        memoryMb: toPart(memoryMb, total.memoryMb),
        accelerators: toPart(accelerators, total.accelerators),
        slots: toPart(slots, total.slots),
      },
      waitingMs: Math.round(this.waitingMs),
      workersInUse:
        this.runningMs === 0
          ? 0
          : toRounded(this.busyWorkerMs / this.runningMs / Math.max(1, this.capacities.size)),
      digest: this.digest.formatDigest(),
    };
  }

  private readRow(row: string): RowTally {
    const known = this.rows.get(row);
    if (known !== undefined) {
      return known;
    }
    const waits = build({ useWebAssembly: false, bitBucketSize: 64, numberOfSignificantValueDigits: 3 });
    const created: RowTally = { requests: 0, placed: 0, refused: 0, late: 0, good: 0, waits };
    this.rows.set(row, created);
    return created;
  }
}
