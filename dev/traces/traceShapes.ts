import { deployments } from './deployments';
import type { TraceShape } from './TraceShape';

const { almaty, gangeticEast } = deployments;
const SECOND = 1000;
const MINUTE = 60 * SECOND;

const toConstant = (rate: number) => ({ ratePerSecond: () => rate, maxRatePerSecond: rate });

const PLAN_REFRESH = { row: 'plan-refresh', meanRunMs: 400, deadlineMs: 3000 };
const COURSE_BUILD = { row: 'course-build', meanRunMs: 4000, deadlineMs: 60_000 };
const VIDEO_BACKLOG = { row: 'video-render', count: 400, meanRunMs: 15_000, deadlineMs: 1_800_000 };
const BURST_FROM = 20 * SECOND;
const BURST_TO = 25 * SECOND;

/** The generated traces, found by name. */
export const traceShapes: readonly TraceShape[] = [
  {
    name: 'almaty-morning',
    about: 'Almaty at its morning peak; video-render fills the rest',
    seed: 11,
    lengthMs: MINUTE,
    entries: 6,
    ...almaty,
    arrivals: [
      { ...PLAN_REFRESH, ratePerSecond: (at) => 100 + (200 * at) / MINUTE, maxRatePerSecond: 300 },
      { ...COURSE_BUILD, ...toConstant(5) },
    ],
    backlog: [VIDEO_BACKLOG],
  },
  {
    name: 'gangetic-night',
    about: 'a night of sheet-stitch with its deadline at dawn, some tile-proof',
    seed: 12,
    lengthMs: 4 * MINUTE,
    entries: 6,
    ...gangeticEast,
    arrivals: [{ row: 'tile-proof', meanRunMs: 300, deadlineMs: 5000, ...toConstant(5) }],
    backlog: [{ row: 'sheet-stitch', count: 1500, meanRunMs: 20_000, deadlineMs: 540_000 }],
  },
  {
    name: 'gangetic-day',
    about: 'tile-proof in the day while stitching goes on',
    seed: 13,
    lengthMs: MINUTE,
    entries: 6,
    ...gangeticEast,
    arrivals: [
      { row: 'tile-proof', meanRunMs: 300, deadlineMs: 5000, ...toConstant(200) },
      { row: 'sheet-stitch', meanRunMs: 20_000, deadlineMs: 600_000, ...toConstant(3) },
    ],
  },
  {
    name: 'burst',
    about: 'plan-refresh at ten times its rate for five seconds',
    seed: 14,
    lengthMs: MINUTE,
    entries: 6,
    ...almaty,
    arrivals: [
      { ...PLAN_REFRESH, ratePerSecond: (at) => (at >= BURST_FROM && at < BURST_TO ? 1500 : 150), maxRatePerSecond: 1500 },
      { ...COURSE_BUILD, ...toConstant(5) },
    ],
    backlog: [VIDEO_BACKLOG],
  },
  {
    name: 'rack-lost',
    about: 'a rack of eight workers is lost for twenty seconds',
    seed: 15,
    lengthMs: MINUTE,
    entries: 6,
    ...almaty,
    arrivals: [
      { ...PLAN_REFRESH, ...toConstant(250) },
      { ...COURSE_BUILD, ...toConstant(5) },
    ],
    backlog: [VIDEO_BACKLOG],
    loss: { at: 20 * SECOND, until: 40 * SECOND, workers: [0, 1, 2, 3, 4, 5, 6, 7] },
  },
  {
    name: 'slow-endpoint',
    about: 'one endpoint in each hall runs ten times as long',
    seed: 16,
    lengthMs: MINUTE,
    entries: 6,
    ...almaty,
    arrivals: [{ ...PLAN_REFRESH, ...toConstant(300) }],
    slow: { 'worker-3': 10, 'worker-14': 10, 'worker-25': 10 },
  },
  {
    name: 'uneven-balancer',
    about: 'one entry box of six gets half the callers',
    seed: 17,
    lengthMs: MINUTE,
    entries: 6,
    ...almaty,
    arrivals: [
      { ...PLAN_REFRESH, ...toConstant(300) },
      { ...COURSE_BUILD, ...toConstant(5) },
    ],
    chooseEntry: (pick) => (pick < 0.5 ? 0 : 1 + Math.floor((pick - 0.5) * 10)),
  },
  {
    name: 'greedy-team',
    about: 'two teams on one row; the greedy one sends nine of ten requests, above capacity together',
    seed: 18,
    lengthMs: MINUTE,
    entries: 6,
    ...almaty,
    arrivals: [{ ...PLAN_REFRESH, ...toConstant(720), chooseTeam: (pick) => (pick < 0.9 ? 'greedy' : 'modest') }],
  },
];
