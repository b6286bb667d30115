import { dirname } from 'node:path';
import { fileURLToPath } from 'node:url';
import { BOUNDS, sendCall, QUEUE_PREFIX } from '../Deployment.mjs';
import { waitFor } from '../LogStore.mjs';
import { runCase } from '../runCase.mjs';

const ZONES = ['hall-medeu', 'hall-alatau', 'hall-koktobe'];
/** A job of tasks that run one after the other for some thirteen seconds. */
const JOB = {
  spec: 'work 800',
  steps: Array.from({ length: 16 }, (_, step) => ({
    count: 1,
    cpu: 1000,
    'mem-mb': 500,
    'estimated-ms': 800,
    ...(step === 0 ? {} : { 'depends-on': [step - 1] }),
  })),
};
/** Jobs of other clients before, all short. */
const EARLIER_JOBS = 40;
const SHORT_JOB = { spec: 'work 100', steps: [{ count: 2, cpu: 500, 'mem-mb': 100, 'estimated-ms': 100 }] };
const DEAF_MS = 1000;
/** The store is slow meanwhile: its answers take so many times as long (the sheet: 60). */
const SLOW_FACTOR = 15;
/** Clients that call the box while it starts again: a call every few milliseconds, each with a job of its own. */
const CALL_INTERVAL_MS = 5;
const CALLS_FOR_MS = 600;
const MAX_JOBS = 24;
const OBSERVED_MS = 16_000;
const RESTART_DELAY_MS = 200;

const createId = (number) => `5c0e7a21d94b${number.toString(16).padStart(4, '0')}`;

const play = async (deployment, isTrouble) => {
  const starts = [];
  const running = new Map();
  deployment.handleTaskStart = ({ executor, task, run }) => {
    starts.push({ job: task.split('.')[0], task, at: deployment.now() });
    running.set(task, (running.get(task) ?? 0) + 1);
    deployment.record(`${executor}: starts ${task} run ${run}`);
  };
  deployment.handleTaskEnd = ({ executor, task, run, how }) => {
    running.set(task, (running.get(task) ?? 1) - 1);
    deployment.record(`${executor}: ${task} run ${run} ended ${how}`);
  };
  await deployment.start({
    boxes: 3,
    zones: ZONES,
    executors: 6,
    executorCapacity: { cpu: 16_000, 'mem-mb': 32_768, gpu: 0 },
  });
  for (let number = 0; number < EARLIER_JOBS; number += 1) {
    await deployment.submit(deployment.boxes[0], createId(number), SHORT_JOB);
  }
  await waitFor(2000);
  // Several boxes may have claimed at the start: the one that still writes is the one that leads.
  const leader = await deployment.waitForLeader();
  deployment.record(`${leader.name} wrote last to the store under a condition`);
  const [restarted, other] = deployment.boxes.filter((box) => box !== leader);

  const cancelled = new Map();
  let disruptionEndedAt = 0;
  let compaction = Promise.resolve();
  const submitAndCancel = async (number) => {
    const id = createId(number);
    const answer = await sendCall({
      address: restarted.front,
      method: 'POST',
      path: `${QUEUE_PREFIX}${id}`,
      body: JOB,
    });
    if (answer.status !== 200) {
      return;
    }
    deployment.record(`client: POST ${id} to ${restarted.name} -> 200`);
    if (cancelled.size < MAX_JOBS) {
      cancelled.set(id, undefined);
      const { status } = await deployment.cancel(other, id);
      cancelled.set(id, status === 200 || status === 410 ? deployment.now() : undefined);
    } else {
      // Not needed: cancelled at the box that took it.
      await deployment.cancel(restarted, id);
    }
  };

  const usualAnswerMs = deployment.store.answerMs;
  if (isTrouble) {
    deployment.store.answerMs = usualAnswerMs * SLOW_FACTOR;
    deployment.record(`store: answers take ${deployment.store.answerMs} ms`);
    restarted.child.kill('SIGKILL');
    await restarted.child.exited;
    await waitFor(RESTART_DELAY_MS);
    deployment.startBox(restarted);
    let hasReadConfiguration = false;
    deployment.store.handleCall = ({ box, topic }) => {
      hasReadConfiguration ||= box === restarted.name && topic === 'keyed.op';
    };
    await deployment.waitUntil(() => hasReadConfiguration, 10_000, 'the box that starts reads the store');
    compaction = deployment.store.runCompaction(DEAF_MS).then(() => {
      deployment.store.answerMs = usualAnswerMs;
      deployment.record(`store: answers take ${usualAnswerMs} ms`);
      disruptionEndedAt = deployment.now();
    });
  }
  const calls = [];
  const until = performance.now() + CALLS_FOR_MS;
  for (let number = 0x1000; performance.now() < until && cancelled.size < MAX_JOBS; number += 1) {
    calls.push(submitAndCancel(number));
    await waitFor(CALL_INTERVAL_MS);
  }
  await Promise.all(calls);
  await compaction;
  deployment.record('the disruption is over');
  await waitFor(OBSERVED_MS);

  const breaches = [];
  for (const [id, cancelledAt] of cancelled) {
    if (cancelledAt === undefined) {
      continue;
    }
    await deployment.readState(other, id);
    const lateFrom = Math.max(cancelledAt, disruptionEndedAt + BOUNDS['contact-ms']) + BOUNDS.cancel_ms;
    const late = starts.filter(({ job, at }) => job === id && at > lateFrom);
    if (late.length > 0) {
      breaches.push(
        `UNASKED: the cancel of ${id} was acknowledged at ${cancelledAt.toFixed(0)} ms, and ${late.length} of its tasks were started ` +
          `later than ${lateFrom.toFixed(0)} ms, the last at ${late.at(-1).at.toFixed(0)} ms`,
      );
    }
  }
  deployment.record(`${cancelled.size} jobs were accepted and cancelled`);
  return breaches;
};

await runCase(dirname(fileURLToPath(import.meta.url)), play);
