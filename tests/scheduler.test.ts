import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import { createRandom } from '../packages/common/createRandom';
import type { RequestId } from '../packages/common/RequestId';
import type { RowName } from '../packages/common/RowName';
import type { TeamName } from '../packages/common/TeamName';
import { toId } from '../packages/common/toId';
import type { WorkerId } from '../packages/common/WorkerId';
import { demandMath } from '../packages/scheduler/demandMath';
import type { PolicyName } from '../packages/scheduler/PolicyName';
import { Scheduler } from '../packages/scheduler/Scheduler';
import type { SchedulerEffect } from '../packages/scheduler/SchedulerEffect';
import type { SchedulerEvent } from '../packages/scheduler/SchedulerEvent';
import { toShare } from '../packages/scheduler/toShare';
import type { Row } from '../packages/table/Row';
import type { Team } from '../packages/table/Team';
import { createRow } from './helpers/createRow';

const CAPACITY = { cpus: 8, memoryMb: 8000, accelerators: 1, slots: 4 };

const createWorkers = (count: number): SchedulerEvent => ({
  kind: 'workers',
  workers: Array.from({ length: count }, (_, index) => ({
    id: toId<WorkerId>(`w${index}`),
    rack: 'r',
    capacity: CAPACITY,
    isPlaceable: true,
    foreign: demandMath.NOTHING,
  })),
});

const createScheduler = (rows: readonly Row[], workers: number, teams: readonly Team[] = []): Scheduler => {
  const scheduler = new Scheduler({
    policy: 'stairline',
    random: createRandom(1),
    shareIndex: 0,
    shareCount: 1,
  });
  scheduler.handle({ kind: 'table', rows, teams }, 0);
  scheduler.handle(createWorkers(workers), 0);
  return scheduler;
};

const createRequest = (
  id: string,
  row: string,
  at: number,
  deadlineMs = 10_000,
  team = 'clinicians',
): SchedulerEvent => ({
  kind: 'request',
  request: {
    id: toId<RequestId>(id),
    row: toId<RowName>(row),
    team: toId<TeamName>(team),
    arrivedAt: at,
    deadlineAt: at + deadlineMs,
  },
});

const toPlaced = (effects: readonly SchedulerEffect[]): string[] =>
  effects.filter((effect) => effect.kind === 'place').map((effect) => effect.id);

const toRefusals = (effects: readonly SchedulerEffect[]): string[] =>
  effects.flatMap((effect) => (effect.kind === 'refuse' ? [effect.reason] : []));

const toFinish = (id: string): SchedulerEvent => ({ kind: 'finish', id: toId<RequestId>(id) });

describe('the scheduler', () => {
  it('never gives a worker more than it holds, whatever comes', () => {
    const kinds = ['service', 'batch'] as const;
    const step = fc.record({ what: fc.nat({ max: 9 }), row: fc.nat({ max: 2 }), pick: fc.nat({ max: 200 }) });
    const rows = [
      createRow('a', { cpus: 1, memoryMb: 900, slots: 1 }),
      createRow('b', {
        class: 'batch',
        cpus: 2.5,
        memoryMb: 3000,
        slots: 2,
        preemptible: true,
        placement: 'pack',
      }),
      createRow('c', { class: kinds[1], accelerators: 1, cpus: 0.1 }),
    ];
    const property = fc.property(
      fc.array(step, { maxLength: 120 }),
      fc.constantFrom<PolicyName>('stairline', 'arrival-random', 'least-loaded'),
      (steps, policy) => {
        const scheduler = new Scheduler({ policy, random: createRandom(2), shareIndex: 0, shareCount: 1 });
        scheduler.handle({ kind: 'table', rows, teams: [] }, 0);
        scheduler.handle(createWorkers(3), 0);
        const ids: string[] = [];
        for (const [now, { what, row, pick }] of steps.entries()) {
          const known = ids[pick % Math.max(1, ids.length)] ?? 'none';
          if (what < 6) {
            ids.push(`q${now}`);
            scheduler.handle(createRequest(`q${now}`, rows[row]?.name ?? 'a', now), now);
          } else if (what === 6) {
            scheduler.handle({ kind: 'unplaced', id: toId(known), isYield: pick % 2 === 0 }, now);
          } else if (what === 7) {
            scheduler.handle({ kind: 'cancel', id: toId(known) }, now);
          } else {
            scheduler.handle(toFinish(known), now);
          }
          for (const worker of ['w0', 'w1', 'w2']) {
            let sum = demandMath.NOTHING;
            for (const id of scheduler.readWorkerTasks(toId<WorkerId>(worker))) {
              sum = demandMath.toSum(sum, scheduler.readTask(id)?.need ?? demandMath.NOTHING);
            }
            expect(sum.cpus).toBeLessThanOrEqual(CAPACITY.cpus + 1e-6);
            expect(sum.memoryMb).toBeLessThanOrEqual(CAPACITY.memoryMb);
            expect(sum.accelerators).toBeLessThanOrEqual(CAPACITY.accelerators);
            expect(sum.slots).toBeLessThanOrEqual(CAPACITY.slots);
          }
        }
      },
    );
    fc.assert(property, { seed: 5, numRuns: 150 });
  });

  it('lets a service row go first when room comes', () => {
    const rows = [
      createRow('s', { slots: 4 }),
      createRow('b', { class: 'batch', slots: 4, deadlineMs: 60_000 }),
    ];
    const scheduler = createScheduler(rows, 1);
    scheduler.handle(createRequest('b1', 'b', 0, 60_000), 0);
    scheduler.handle(createRequest('b2', 'b', 1, 60_000), 1);
    scheduler.handle(createRequest('s1', 's', 2), 2);
    expect(toPlaced(scheduler.handle(toFinish('b1'), 100))).toEqual(['s1']);
  });

  it('asks the youngest preemptible task to yield, once for each waiting service request', () => {
    const rows = [createRow('s'), createRow('b', { class: 'batch', slots: 2, preemptible: true })];
    const scheduler = createScheduler(rows, 1);
    scheduler.handle(createRequest('b1', 'b', 0), 0);
    scheduler.handle(createRequest('b2', 'b', 5), 5);
    const effects = scheduler.handle(createRequest('s1', 's', 10), 10);
    expect(effects).toEqual([{ kind: 'yield', id: 'b2', worker: 'w0', inFavourOf: 's1' }]);
    expect(scheduler.handle({ kind: 'tick' }, 11)).toEqual([]);
    expect(toPlaced(scheduler.handle({ kind: 'unplaced', id: toId('b2'), isYield: true }, 20))).toEqual([
      's1',
    ]);
    expect(scheduler.readWaitingCount()).toBe(1);
  });

  it('raises a batch request whose slack runs out above one with time', () => {
    const rows = [
      createRow('near', { class: 'batch', slots: 4, expectedMs: 1000, priority: 0 }),
      createRow('far', { class: 'batch', slots: 4, expectedMs: 1000, priority: 5 }),
    ];
    const scheduler = createScheduler(rows, 1);
    scheduler.handle(createRequest('first', 'far', 0, 60_000), 0);
    scheduler.handle(createRequest('near', 'near', 0, 5000), 0);
    scheduler.handle(createRequest('far', 'far', 0, 60_000), 0);
    expect(toPlaced(scheduler.handle(toFinish('first'), 2500))).toEqual(['near']);
  });

  it('shares placements by weight', () => {
    const rows = [createRow('a', { weight: 3, slots: 4 }), createRow('b', { weight: 1, slots: 4 })];
    const scheduler = createScheduler(rows, 1);
    for (let number = 0; number < 40; number += 1) {
      scheduler.handle(createRequest(`a${number}`, 'a', 0, 1_000_000), 0);
      scheduler.handle(createRequest(`b${number}`, 'b', 0, 1_000_000), 0);
    }
    let running = 'a0';
    let countA = 0;
    for (let turn = 1; turn <= 32; turn += 1) {
      running = toPlaced(scheduler.handle(toFinish(running), turn))[0] ?? '';
      countA += running.startsWith('a') ? 1 : 0;
    }
    expect(countA).toBeGreaterThanOrEqual(23);
    expect(countA).toBeLessThanOrEqual(25);
  });

  it('takes turns between the teams of a row, so that a greedy one does not hold up the other', () => {
    const scheduler = createScheduler([createRow('a', { slots: 4 })], 1);
    for (let number = 0; number < 20; number += 1) {
      scheduler.handle(createRequest(`greedy${number}`, 'a', 0, 1_000_000, 'greedy'), 0);
    }
    scheduler.handle(createRequest('modest', 'a', 1, 1_000_000, 'modest'), 1);
    const first = toPlaced(scheduler.handle(toFinish('greedy0'), 10));
    const second = toPlaced(scheduler.handle(toFinish(first[0] ?? ''), 20));
    expect([...first, ...second]).toContain('modest');
  });

  it('refuses at once, saying when to come back: full queue, team over quota, deadline out of reach, unknown row', () => {
    const team: Team = { name: toId<TeamName>('clinicians'), maxRunning: 0, maxQueued: 1 };
    const rows = [createRow('a', { slots: 4, maxQueued: 2 })];
    const scheduler = createScheduler(rows, 1, [team]);
    expect(toRefusals(scheduler.handle(createRequest('1', 'a', 0), 0))).toEqual([]);
    expect(toRefusals(scheduler.handle(createRequest('2', 'a', 0), 0))).toEqual([]);
    expect(toRefusals(scheduler.handle(createRequest('3', 'a', 0), 0))).toEqual(['teamQuota']);
    expect(toRefusals(scheduler.handle(createRequest('4', 'a', 0, 10_000, 'other'), 0))).toEqual([]);
    expect(toRefusals(scheduler.handle(createRequest('5', 'a', 0, 10_000, 'other'), 0))).toEqual([
      'queueFull',
    ]);
    expect(toRefusals(scheduler.handle(createRequest('6', 'none', 0), 0))).toEqual(['unknownRow']);
    const roomy = createScheduler([createRow('a')], 1);
    expect(toRefusals(roomy.handle(createRequest('7', 'a', 0, 500), 0))).toEqual(['deadlineUnreachable']);
  });

  it('gives up a waiting request as soon as it can no longer end in time', () => {
    const scheduler = createScheduler([createRow('a', { slots: 4, expectedMs: 100 })], 1);
    scheduler.handle(createRequest('1', 'a', 0), 0);
    scheduler.handle(createRequest('2', 'a', 0, 1000), 0);
    expect(scheduler.handle({ kind: 'tick' }, 900)).toEqual([]);
    expect(toRefusals(scheduler.handle({ kind: 'tick' }, 901))).toEqual(['deadlinePassed']);
  });

  it('splits a limit into shares that add up to it exactly', () => {
    const property = fc.property(
      fc.integer({ min: 1, max: 1000 }),
      fc.integer({ min: 1, max: 70 }),
      (limit, count) => {
        const shares = Array.from({ length: count }, (_, index) => toShare(limit, index, count));
        expect(shares.reduce((sum, share) => sum + share, 0)).toBe(limit);
      },
    );
    fc.assert(property, { seed: 1, numRuns: 100 });
  });

  it('counts what others still run on a worker as taken', () => {
    const scheduler = createScheduler([createRow('a')], 0);
    const view = { id: toId<WorkerId>('w'), rack: 'r', capacity: CAPACITY, isPlaceable: true };
    scheduler.handle(
      { kind: 'workers', workers: [{ ...view, foreign: { ...demandMath.NOTHING, slots: 3 } }] },
      0,
    );
    expect(toPlaced(scheduler.handle(createRequest('1', 'a', 0), 0))).toEqual(['1']);
    expect(toPlaced(scheduler.handle(createRequest('2', 'a', 0), 0))).toEqual([]);
    scheduler.handle(toFinish('1'), 1);
    const lost = scheduler.handle(
      { kind: 'workers', workers: [{ ...view, isPlaceable: false, foreign: demandMath.NOTHING }] },
      2,
    );
    expect(toPlaced(lost)).toEqual([]);
  });
});
