import { createRandom } from '../../packages/common/createRandom';
import type { Random } from '../../packages/common/Random';
import type { RequestId } from '../../packages/common/RequestId';
import type { RowName } from '../../packages/common/RowName';
import type { TeamName } from '../../packages/common/TeamName';
import { toId } from '../../packages/common/toId';
import type { WorkerId } from '../../packages/common/WorkerId';
import type { Trace } from '../../packages/replay/Trace';
import type { TraceLine } from '../../packages/replay/TraceLine';
import { demandMath } from '../../packages/scheduler/demandMath';
import type { WorkerView } from '../../packages/scheduler/WorkerView';
import type { TraceShape } from './TraceShape';

const SPREAD = 0.5;
const WORKERS_PER_RACK = 8;

const toNormal = (random: Random): number =>
  Math.sqrt(-2 * Math.log(1 - random())) * Math.cos(2 * Math.PI * random());

/** A log-normal run time with the given mean, in milliseconds. */
const chooseRunMs = (meanMs: number, random: Random): number =>
  Math.max(1, Math.round(meanMs * Math.exp(SPREAD * toNormal(random) - (SPREAD * SPREAD) / 2)));

const createViews = (shape: TraceShape, entry: number, isPlaceable: (index: number) => boolean): readonly WorkerView[] =>
  Array.from({ length: shape.workers }, (_, index) => index)
    .filter((index) => index % shape.entries === entry)
    .map((index) => ({
      id: toId<WorkerId>(`worker-${index}`),
      rack: `rack-${Math.floor(index / WORKERS_PER_RACK)}`,
      capacity: shape.capacity,
      isPlaceable: isPlaceable(index),
      foreign: demandMath.NOTHING,
    }));

const createRequestLine = (
  shape: TraceShape,
  random: Random,
  request: { at: number; row: string; number: number; meanRunMs: number; deadlineMs: number; team: string | undefined },
): TraceLine => {
  const { at, row, number, meanRunMs, deadlineMs, team } = request;
  const rowTeam = shape.rows.find((known) => known.name === row)?.team ?? '';
  const pick = random();
  const entry = shape.chooseEntry?.(pick) ?? Math.floor(pick * shape.entries);
  return {
    at,
    entry,
    event: {
      kind: 'request',
      request: {
        id: toId<RequestId>(`${row}-${number}`),
        row: toId<RowName>(row),
        team: toId<TeamName>(team ?? rowTeam),
        arrivedAt: at,
        deadlineAt: at + deadlineMs,
      },
    },
    runMs: chooseRunMs(meanRunMs, random),
  };
};

const createArrivals = (shape: TraceShape, random: Random): TraceLine[] => {
  const lines: TraceLine[] = [];
  let number = 0;
  for (const { row, count, meanRunMs, deadlineMs } of shape.backlog ?? []) {
    for (let index = 0; index < count; index += 1) {
      number += 1;
      lines.push(createRequestLine(shape, random, { at: 0, row, number, meanRunMs, deadlineMs, team: undefined }));
    }
  }
  for (const arrivals of shape.arrivals) {
    const { row, meanRunMs, deadlineMs } = arrivals;
    let at = 0;
    while (at < shape.lengthMs) {
      // Thinning of a Poisson stream: Lewis and Shedler, 1979.
      at += (-Math.log(1 - random()) * 1000) / arrivals.maxRatePerSecond;
      const isKept = random() * arrivals.maxRatePerSecond < arrivals.ratePerSecond(at);
      if (isKept && at < shape.lengthMs) {
        number += 1;
        const time = Math.round(at * 1000) / 1000;
        const team = arrivals.chooseTeam?.(random());
        lines.push(createRequestLine(shape, random, { at: time, row, number, meanRunMs, deadlineMs, team }));
      }
    }
  }
  return lines;
};

const createSetup = (shape: TraceShape): TraceLine[] => {
  const lines: TraceLine[] = [];
  for (let entry = 0; entry < shape.entries; entry += 1) {
    lines.push({ at: 0, entry, event: { kind: 'table', rows: shape.rows, teams: [] } });
    lines.push({ at: 0, entry, event: { kind: 'workers', workers: createViews(shape, entry, () => true) } });
  }
  return lines;
};

const createLoss = (shape: TraceShape): TraceLine[] => {
  const { loss } = shape;
  if (loss === undefined) {
    return [];
  }
  const lines: TraceLine[] = [];
  const lost = new Set(loss.workers.map((index) => `worker-${index}`));
  for (let entry = 0; entry < shape.entries; entry += 1) {
    const gone = createViews(shape, entry, () => false).filter((view) => lost.has(view.id));
    const back = createViews(shape, entry, () => true).filter((view) => lost.has(view.id));
    lines.push({ at: loss.at, entry, event: { kind: 'workers', workers: gone }, isLoss: true });
    lines.push({ at: loss.until, entry, event: { kind: 'workers', workers: back } });
  }
  return lines;
};

/** Creates the trace of a shape: the same on every run. */
export const createTrace = (shape: TraceShape): Trace => {
  const random = createRandom(shape.seed);
  const later = [...createArrivals(shape, random), ...createLoss(shape)].sort((left, right) => left.at - right.at);
  return {
    seed: shape.seed,
    shareCount: shape.entries,
    shareIndex: 0,
    entries: shape.entries,
    slow: shape.slow ?? {},
    recordedDigest: undefined,
    lines: [...createSetup(shape), ...later],
  };
};
