import { waitForDelay } from '../../packages/common/waitForDelay';
import type { ExecutorFault } from '../../packages/standins/platform/ExecutorFault';
import type { LogFault } from '../../packages/standins/platform/LogFault';
import type { Cell } from '../cell/Cell';
import type { SoakWorld } from './SoakWorld';

type Box = Cell['boxes'][number];
type Trouble = (world: SoakWorld) => Promise<void>;

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

const stopTogether = async (world: SoakWorld, boxes: readonly Box[], mostDownMs: number): Promise<void> => {
  boxes.forEach(({ process }) => process.sendSignal('SIGKILL'));
  await Promise.all(boxes.map(({ process }) => process.exit));
  await world.startPause(mostDownMs);
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
const stopWhileAnswering = async (world: SoakWorld, box: Box): Promise<void> => {
  const job = world.chooseAcceptedJob();
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

const startExecutorFault = async (world: SoakWorld, fault: ExecutorFault): Promise<void> => {
  const executor = world.chooseExecutor();
  executor?.standin.setFault(fault);
  await world.startPause(FAULT_MS);
  executor?.standin.setFault('none');
};

const startLogFault = async (world: SoakWorld, fault: LogFault, door?: string): Promise<void> => {
  world.cell.log.setFault(fault, door);
  await world.startPause(FAULT_MS);
  world.cell.log.setFault('none', door);
};

const startReturn = async (world: SoakWorld, downMs: number, recordAfterMs: number): Promise<void> => {
  const executor = world.chooseExecutor();
  if (executor !== undefined) {
    await world.cell.startExecutorAgain(executor.id, { downMs, recordAfterMs });
  }
};

/** What goes wrong in a soak. Each ends by itself, and several go on beside each other. */
export const soakTroubles: Readonly<Record<string, Trouble>> = {
  killBox: (world) =>
    world.startWithBox(async (box) => {
      box.process.sendSignal('SIGKILL');
      await box.process.exit;
      await world.startPause(DOWN_MS);
      world.cell.startBox(box);
    }),
  killLeader: (world) =>
    world.startWithBox(async (box) => {
      if (box.process.readOutput().includes('"Leading."')) {
        box.process.sendSignal('SIGKILL');
        await box.process.exit;
        world.cell.startBox(box);
      }
    }),
  killSeveral: (world) => world.startWithSeveralBoxes((boxes) => stopTogether(world, boxes, DOWN_MS)),
  powerLossOfAll: (world) => world.startWithAllBoxes((boxes) => stopTogether(world, boxes, DOWN_MS)),
  powerLossAfterAccept: (world) =>
    world.startWithAllBoxes(async (boxes) => {
      await world.waitForNextAccept(NEXT_ACCEPT_MS);
      await stopTogether(world, boxes, 0);
    }),
  powerLossInChange: (world) =>
    world.startWithAllBoxes(async (boxes) => {
      world.writeNextConfiguration();
      await world.startPause(SETTLE_MS);
      await stopTogether(world, boxes, DOWN_MS);
    }),
  powerLossWithExecutor: (world) =>
    world.startWithAllBoxes(async (boxes) => {
      const executor = world.chooseExecutor();
      const replaced =
        executor === undefined
          ? Promise.resolve()
          : world.cell.startExecutorReplacement(executor.id, world.chooseUpTo(REPLACEMENT_MS));
      await Promise.all([stopTogether(world, boxes, DOWN_MS), replaced]);
    }),
  stopBox: (world) => world.startWithBox((box) => stopGracefully(world, box)),
  stopAllInTurn: (world) =>
    world.startWithAllBoxes(async (boxes) => {
      for (const box of boxes) {
        await stopWhileAnswering(world, box);
      }
    }),
  pauseBox: (world) =>
    world.startWithBox(async (box) => {
      box.process.sendSignal('SIGSTOP');
      await world.startPause(PAUSE_MS);
      box.process.sendSignal('SIGCONT');
    }),
  hangUpBox: (world) =>
    world.startWithBox(async (box) => {
      box.process.sendSignal('SIGHUP');
      await waitForDelay(SETTLE_MS);
      // A program that is only being loaded has no handler yet, and ends: the platform starts it again.
      if (!box.process.isAlive() && box.process.readOutput() === '') {
        world.cell.startBox(box);
      }
    }),
  returnAtOnce: (world) => startReturn(world, 0, 0),
  returnLater: (world) => startReturn(world, world.chooseUpTo(DOWN_MS), 0),
  returnWithLateRecord: (world) => startReturn(world, world.chooseUpTo(200), world.chooseUpTo(2000)),
  silentExecutor: (world) => startExecutorFault(world, 'silent'),
  lateStarts: (world) => startExecutorFault(world, 'lateStarts'),
  lateAnswers: (world) => startExecutorFault(world, 'lateAnswers'),
  slowExecutor: (world) => startExecutorFault(world, 'slow'),
  leaveAtShortNotice: async (world) => {
    const executor = world.chooseExecutor();
    if (executor !== undefined) {
      world.cell.writeExecutor(executor.id, executor.address, 'draining', SHORT_NOTICE_MS);
      await waitForDelay(SHORT_NOTICE_MS);
      await world.cell.startExecutorAgain(executor.id, { downMs: world.chooseUpTo(DOWN_MS) });
    }
  },
  burst: async (world) => {
    world.isBursting = true;
    await waitForDelay(BURST_MS);
    world.isBursting = false;
  },
  silentConnections: async (world) => {
    world.chooseExecutor()?.standin.applyBlackhole();
    await waitForDelay(0);
  },
  silentLog: (world) => startLogFault(world, 'silent'),
  busyLogForOne: (world) => startLogFault(world, 'busy', world.chooseBox().name),
  lostLogAnswers: (world) => startLogFault(world, 'loseAnswers'),
  lostLogAnswersForOne: (world) => startLogFault(world, 'loseAnswers', world.chooseBox().name),
  compactLog: async (world) => {
    world.cell.runCompaction();
    await waitForDelay(0);
  },
  compactLogWhileSilent: async (world) => {
    const { name } = world.chooseBox();
    world.cell.log.setFault('silent', name);
    await world.startPause(FAULT_MS);
    world.cell.runCompaction();
    world.cell.log.setFault('none', name);
  },
  slowLog: async (world) => {
    world.cell.log.setLatency(SLOW_LOG_MS);
    await world.startPause(FAULT_MS);
    world.cell.log.setLatency(0);
  },
  changeConfiguration: async (world) => {
    world.writeNextConfiguration();
    await waitForDelay(0);
  },
  foreignRecord: async (world) => {
    const values: readonly unknown[] = [
      { state: 'resting' },
      { service: 'service-a', address: 'nowhere' },
      [1],
      'text',
      { service: 'service-b', address: '127.0.0.1:9', zone: 'z', state: 'ready' },
    ];
    const value = values[world.chooseUpTo(values.length - 1)];
    world.cell.log.writeRecord('keyed.servers', `i-other-${world.chooseUpTo(3)}`, value);
    await waitForDelay(0);
  },
};
