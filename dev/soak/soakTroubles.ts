import { waitForDelay } from '../../packages/common/waitForDelay';
import type { ExecutorFault } from '../../packages/standins/platform/ExecutorFault';
import type { LogFault } from '../../packages/standins/platform/LogFault';
import type { Cell } from '../cell/Cell';
import type { SoakChoices } from './SoakChoices';
import type { SoakWorld } from './SoakWorld';

type Box = Cell['boxes'][number];
type Trouble = (world: SoakWorld, choices: SoakChoices) => Promise<void>;

const PAUSE_MS = 5000;
const DOWN_MS = 2500;
const FAULT_MS = 3000;
const SLOW_LOG_MS = 60;
const SHORT_NOTICE_MS = 1000;
const BURST_MS = 1500;
/** After it a process that a signal has ended is gone. */
const SETTLE_MS = 200;
const NEXT_ACCEPT_MS = 2000;
/** Time in which a program that was told to stop has to end. */
const GRACE_MS = 6000;
const REQUEST_LEAD_MS = 20;
const REPLACEMENT_MS = 1500;
/** Longest time for which executors are away that come back before the leader is lost. */
const SILENT_DOWN_MS = 800;
/** Time from the return of executors to the loss of the leader: at least, and beyond that at most. */
const HANDOVER_LEAD_MS = 500;
const HANDOVER_RANGE_MS = 2000;
/** How long before or after the loss of the leader the executors are cut off, at most. */
const CUT_RANGE_MS = 400;
const CUT_MS = 9000;

const stopTogether = async (
  world: SoakWorld,
  choices: SoakChoices,
  boxes: readonly Box[],
  mostDownMs: number,
): Promise<void> => {
  boxes.forEach(({ process }) => process.sendSignal('SIGKILL'));
  await Promise.all(boxes.map(({ process }) => process.exit));
  await choices.waitForPause(mostDownMs);
  boxes.forEach((box) => world.cell.startBox(box));
};

/** Stops a box as the platform does, which kills it after a grace time, and starts it again. */
const stopGracefully = async (world: SoakWorld, box: Box): Promise<void> => {
  const { process } = box;
  process.sendSignal('SIGTERM');
  const isEnded = await Promise.race([
    process.exit.then(() => true),
    waitForDelay(GRACE_MS).then(() => false),
  ]);
  if (!isEnded) {
    world.problems.push(`${box.name} had not ended ${GRACE_MS} ms after it was told to stop`);
    process.sendSignal('SIGKILL');
    await process.exit;
  }
  world.cell.startBox(box);
};

/** Stops a box that takes callers while it answers a request, which must get its response. */
const stopWhileAnswering = async (world: SoakWorld, choices: SoakChoices, box: Box): Promise<void> => {
  const job = world.chooseAcceptedJob(choices);
  const isTaking = await world.cell.isTakingCallers(box);
  const answer =
    job === undefined || !isTaking
      ? Promise.resolve(undefined)
      : world.cell.readState(box, job.id, job.queue).then(
          () => undefined,
          (error: unknown) => `${box.name} was told to stop and broke a request off: ${String(error)}`,
        );
  await waitForDelay(REQUEST_LEAD_MS);
  await stopGracefully(world, box);
  const problem = await answer;
  if (problem !== undefined) {
    world.problems.push(problem);
  }
};

const startExecutorFault = async (
  world: SoakWorld,
  choices: SoakChoices,
  fault: ExecutorFault,
): Promise<void> => {
  const executor = world.chooseExecutor(choices);
  executor?.standin.setFault(fault);
  await choices.waitForPause(FAULT_MS);
  executor?.standin.setFault('none');
};

const startLogFault = async (
  world: SoakWorld,
  choices: SoakChoices,
  fault: LogFault,
  door?: string,
): Promise<void> => {
  world.cell.log.setFault(fault, door);
  await choices.waitForPause(FAULT_MS);
  world.cell.log.setFault('none', door);
};

const startReturn = async (
  world: SoakWorld,
  choices: SoakChoices,
  downMs: number,
  recordAfterMs: number,
): Promise<void> => {
  const executor = world.chooseExecutor(choices);
  if (executor !== undefined) {
    await world.cell.startExecutorAgain(executor.id, { downMs, recordAfterMs });
  }
};

const stopByKill = async (world: SoakWorld, box: Box): Promise<void> => {
  box.process.sendSignal('SIGKILL');
  await box.process.exit;
  world.cell.startBox(box);
};

/** Cuts off the executors that are there under some ids, and waits until that is over. */
const startCut = async (world: SoakWorld, ids: readonly string[]): Promise<void> => {
  world.cell.executors
    .filter(({ id }) => ids.includes(id))
    .forEach(({ standin }) => standin.applyCut(CUT_MS));
  await waitForDelay(CUT_MS);
};

/** Several executors are back under their ids; soon after, the leader is lost and they are cut off, in either order. */
const startReturnAndHandover = async (
  world: SoakWorld,
  choices: SoakChoices,
  stopLeader: (world: SoakWorld, box: Box) => Promise<void>,
): Promise<void> => {
  const ids = world.chooseExecutors(choices).map(({ id }) => id);
  const downMs = choices.chooseUpTo(SILENT_DOWN_MS);
  const isResetOnReturn = choices.chooseUpTo(1) === 1;
  const handoverMs = downMs + HANDOVER_LEAD_MS + choices.chooseUpTo(HANDOVER_RANGE_MS);
  const cutMs = handoverMs - CUT_RANGE_MS + choices.chooseUpTo(2 * CUT_RANGE_MS);
  await Promise.all([
    ...ids.map((id) => world.cell.startExecutorAgain(id, { downMs, isSilent: true, isResetOnReturn })),
    waitForDelay(handoverMs).then(() => world.startWithLeader((box) => stopLeader(world, box))),
    waitForDelay(cutMs).then(() => startCut(world, ids)),
  ]);
};

/** What goes wrong in a soak. Each ends by itself, and several go on beside each other. */
export const soakTroubles: Readonly<Record<string, Trouble>> = {
  killBox: (world, choices) =>
    world.startWithBox(choices, async (box) => {
      box.process.sendSignal('SIGKILL');
      await box.process.exit;
      await choices.waitForPause(DOWN_MS);
      world.cell.startBox(box);
    }),
  killLeader: (world, choices) =>
    world.startWithBox(choices, async (box) => {
      if (box.process.readOutput().includes('"Leading."')) {
        await stopByKill(world, box);
      }
    }),
  killSeveral: (world, choices) =>
    world.startWithSeveralBoxes((boxes) => stopTogether(world, choices, boxes, DOWN_MS)),
  powerLossOfAll: (world, choices) =>
    world.startWithAllBoxes((boxes) => stopTogether(world, choices, boxes, DOWN_MS)),
  powerLossAfterAccept: (world, choices) =>
    world.startWithAllBoxes(async (boxes) => {
      await world.waitForNextAccept(NEXT_ACCEPT_MS);
      await stopTogether(world, choices, boxes, 0);
    }),
  powerLossInChange: (world, choices) =>
    world.startWithAllBoxes(async (boxes) => {
      world.writeNextConfiguration(choices);
      await choices.waitForPause(SETTLE_MS);
      await stopTogether(world, choices, boxes, DOWN_MS);
    }),
  powerLossWithExecutor: (world, choices) =>
    world.startWithAllBoxes(async (boxes) => {
      const executor = world.chooseExecutor(choices);
      const replaced =
        executor === undefined
          ? Promise.resolve()
          : world.cell.startExecutorReplacement(executor.id, choices.chooseUpTo(REPLACEMENT_MS));
      await Promise.all([stopTogether(world, choices, boxes, DOWN_MS), replaced]);
    }),
  stopBox: (world, choices) => world.startWithBox(choices, (box) => stopGracefully(world, box)),
  stopAllInTurn: (world, choices) =>
    world.startWithAllBoxes(async (boxes) => {
      for (const box of boxes) {
        await stopWhileAnswering(world, choices, box);
      }
    }),
  pauseBox: (world, choices) =>
    world.startWithBox(choices, async (box) => {
      box.process.sendSignal('SIGSTOP');
      await choices.waitForPause(PAUSE_MS);
      box.process.sendSignal('SIGCONT');
    }),
  hangUpBox: (world, choices) =>
    world.startWithBox(choices, async (box) => {
      box.process.sendSignal('SIGHUP');
      await waitForDelay(SETTLE_MS);
      // A program that is only being loaded has no handler yet, and ends: the platform starts it again.
      if (!box.process.isAlive() && box.process.readOutput() === '') {
        world.cell.startBox(box);
      }
    }),
  returnAtOnce: (world, choices) => startReturn(world, choices, 0, 0),
  returnLater: (world, choices) => startReturn(world, choices, choices.chooseUpTo(DOWN_MS), 0),
  returnWithLateRecord: (world, choices) =>
    startReturn(world, choices, choices.chooseUpTo(200), choices.chooseUpTo(2000)),
  returnBeforePlannedStop: (world, choices) => startReturnAndHandover(world, choices, stopGracefully),
  returnBeforeKill: (world, choices) => startReturnAndHandover(world, choices, stopByKill),
  silentExecutor: (world, choices) => startExecutorFault(world, choices, 'silent'),
  lateStarts: (world, choices) => startExecutorFault(world, choices, 'lateStarts'),
  lateAnswers: (world, choices) => startExecutorFault(world, choices, 'lateAnswers'),
  slowExecutor: (world, choices) => startExecutorFault(world, choices, 'slow'),
  leaveAtShortNotice: async (world, choices) => {
    const executor = world.chooseExecutor(choices);
    if (executor !== undefined) {
      world.cell.writeExecutor(executor.id, executor.address, 'draining', SHORT_NOTICE_MS);
      await waitForDelay(SHORT_NOTICE_MS);
      await world.cell.startExecutorAgain(executor.id, { downMs: choices.chooseUpTo(DOWN_MS) });
    }
  },
  burst: async (world) => {
    world.isBursting = true;
    await waitForDelay(BURST_MS);
    world.isBursting = false;
  },
  silentConnections: async (world, choices) => {
    world.chooseExecutor(choices)?.standin.applyBlackhole();
    await waitForDelay(0);
  },
  silentLog: (world, choices) => startLogFault(world, choices, 'silent'),
  busyLogForOne: (world, choices) => startLogFault(world, choices, 'busy', world.chooseBox(choices).name),
  lostLogAnswers: (world, choices) => startLogFault(world, choices, 'loseAnswers'),
  lostLogAnswersForOne: (world, choices) =>
    startLogFault(world, choices, 'loseAnswers', world.chooseBox(choices).name),
  compactLog: async (world) => {
    world.cell.runCompaction();
    await waitForDelay(0);
  },
  compactLogWhileSilent: async (world, choices) => {
    const { name } = world.chooseBox(choices);
    world.cell.log.setFault('silent', name);
    await choices.waitForPause(FAULT_MS);
    world.cell.runCompaction();
    world.cell.log.setFault('none', name);
  },
  slowLog: async (world, choices) => {
    world.cell.log.setLatency(SLOW_LOG_MS);
    await choices.waitForPause(FAULT_MS);
    world.cell.log.setLatency(0);
  },
  changeConfiguration: async (world, choices) => {
    world.writeNextConfiguration(choices);
    await waitForDelay(0);
  },
  foreignRecord: async (world, choices) => {
    const values: readonly unknown[] = [
      { state: 'resting' },
      { service: 'service-a', address: 'nowhere' },
      [1],
      'text',
      { service: 'service-b', address: '127.0.0.1:9', zone: 'z', state: 'ready' },
    ];
    const value = values[choices.chooseUpTo(values.length - 1)];
    world.cell.log.writeRecord('keyed.servers', `i-other-${choices.chooseUpTo(3)}`, value);
    await waitForDelay(0);
  },
};
