import { dirname } from 'node:path';
import { fileURLToPath } from 'node:url';
import { BOUNDS } from '../lib/Deployment.mjs';
import { waitFor } from '../lib/LogStore.mjs';
import { runCase } from '../lib/runCase.mjs';

const ZONES = ['hall-medeu', 'hall-alatau', 'hall-koktobe'];
/** A job of tasks that run one after the other for some twenty seconds. */
const JOB = {
  spec: 'work 800',
  steps: Array.from({ length: 25 }, (_, step) => ({
    count: 1,
    cpu: 1000,
    'mem-mb': 500,
    'estimated-ms': 800,
    ...(step === 0 ? {} : { 'depends-on': [step - 1] }),
  })),
};
/** The store loses the answers of this share of the writes, and does these 1 to 6 s later (`platform_lost`, `late`, as on the sheet). */
const LOST_SHARE = 0.35;
const MIN_LATE_MS = 1000;
const MAX_LATE_MS = 6000;
const DISRUPTION_MS = 4500;
const SUBMIT_INTERVAL_MS = 60;
const OBSERVED_MS = 24_000;

const createId = (number) => `5c0e7a21d94b${number.toString(16).padStart(4, '0')}`;

const play = async (deployment, isTrouble) => {
  const starts = [];
  deployment.handleTaskStart = ({ executor, task, run }) => {
    starts.push({ job: task.split('.')[0], at: deployment.now() });
    deployment.record(`${executor}: starts ${task} run ${run}`);
  };
  deployment.handleTaskEnd = ({ executor, task, run, how }) =>
    deployment.record(`${executor}: ${task} run ${run} ended ${how}`);
  await deployment.start({
    boxes: 3,
    zones: ZONES,
    executors: 12,
    executorCapacity: { cpu: 16_000, 'mem-mb': 32_768, gpu: 0 },
  });
  await deployment.waitForLeader();
  await waitFor(2000);

  let appendCount = 0;
  let lostCount = 0;
  if (isTrouble) {
    deployment.record(`store: loses the answers of ${LOST_SHARE} of the writes for ${DISRUPTION_MS} ms`);
    deployment.store.chooseLostDelay = () => {
      appendCount += 1;
      if (Math.random() >= LOST_SHARE) {
        return undefined;
      }
      lostCount += 1;
      return Math.round(MIN_LATE_MS + Math.random() * (MAX_LATE_MS - MIN_LATE_MS));
    };
  }
  const cancelled = new Map();
  /** A client hands a job in. Without a clear answer it gives the job up: it cancels it at another box, again until that is acknowledged. */
  const submitOrGiveUp = async (number) => {
    const id = createId(number);
    const box = deployment.boxes[number % deployment.boxes.length];
    const { status } = await deployment.submit(box, id, JOB);
    if (status === 200) {
      await waitFor(1000);
    } else if (status === 429 || status === 503) {
      return;
    }
    for (let attempt = 1; attempt <= 8; attempt += 1) {
      const next = deployment.boxes[(number + attempt) % deployment.boxes.length];
      const answer = await deployment.cancel(next, id);
      if (answer.status === 200 || answer.status === 410) {
        cancelled.set(id, { at: deployment.now(), submitStatus: status, cancelStatus: answer.status });
        return;
      }
      await waitFor(200);
    }
  };
  const clients = [];
  const until = performance.now() + DISRUPTION_MS;
  for (let number = 0; performance.now() < until; number += 1) {
    clients.push(submitOrGiveUp(number));
    await waitFor(SUBMIT_INTERVAL_MS);
  }
  deployment.store.chooseLostDelay = () => undefined;
  deployment.record(`the disruption is over: ${lostCount} of ${appendCount} writes lost`);
  const disruptionEndedAt = deployment.now();
  await Promise.all(clients);
  await waitFor(OBSERVED_MS);

  const breaches = [];
  // The last of the late writes may be done so long after the disruption.
  const calmFrom = disruptionEndedAt + MAX_LATE_MS + BOUNDS['contact-ms'];
  for (const [id, { at, submitStatus, cancelStatus }] of cancelled) {
    const lateFrom = Math.max(at, calmFrom) + BOUNDS.cancel_ms;
    const late = starts.filter(({ job, at: startedAt }) => job === id && startedAt > lateFrom);
    if (late.length > 0) {
      await deployment.readState(deployment.boxes[0], id);
      breaches.push(
        `UNASKED: the cancel of ${id} (handed in: ${submitStatus || 'no answer'}) was acknowledged with ${cancelStatus} at ${at.toFixed(0)} ms, ` +
          `and ${late.length} of its tasks were started later than ${lateFrom.toFixed(0)} ms, the last at ${late.at(-1).at.toFixed(0)} ms`,
      );
    }
  }
  deployment.record(`${cancelled.size} jobs were cancelled`);
  return breaches;
};

await runCase(dirname(fileURLToPath(import.meta.url)), play);
