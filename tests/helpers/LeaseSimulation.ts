import { createRandom } from '../../packages/common/createRandom';
import type { MachineClock } from '../../packages/common/MachineClock';
import type { Random } from '../../packages/common/Random';
import { toId } from '../../packages/common/toId';
import { waitForDelay } from '../../packages/common/waitForDelay';
import type { EndpointClient } from '../../packages/dispatch/endpoints/EndpointClient';
import type { EndpointProfile } from '../../packages/dispatch/endpoints/EndpointProfile';
import type { PollResult } from '../../packages/dispatch/endpoints/PollResult';
import { LeaderController } from '../../packages/dispatch/LeaderController';
import type { EndpointId } from '../../packages/jobs/EndpointId';
import type { EndpointIncarnation } from '../../packages/jobs/EndpointIncarnation';
import { endpointIncarnations } from '../../packages/jobs/endpointIncarnations';
import type { JobDefinition } from '../../packages/jobs/JobDefinition';
import { JobReplica } from '../../packages/jobs/JobReplica';
import type { LeaderAnnouncement } from '../../packages/leadership/LeaderAnnouncement';
import { Leadership } from '../../packages/leadership/Leadership';
import { leaderTimings } from '../../packages/leadership/leaderTimings';
import { LeaderAnnouncer } from '../../packages/serve/LeaderAnnouncer';
import { RunChecker } from '../../packages/standins/platform/RunChecker';
import type { LogClient } from '../../packages/store/LogClient';
import { LogFollower } from '../../packages/store/LogFollower';
import { createLeaderOptions } from './createLeaderOptions';
import { createProfile } from './createProfile';
import { MemoryLog } from './MemoryLog';
import { SimulatedIncarnation } from './SimulatedIncarnation';

interface LeaseSimulationOptions {
  readonly seed: number;
  readonly boxes: number;
  readonly endpoints: number;
  readonly job: JobDefinition;
  /** Changes what a later leader takes for the end of earlier leases, for checks of the simulation itself. */
  readonly toEarlierLeasesEnd?: (endAt: number, electedAt: number) => number;
}

/** The process of a box. */
interface SimulatedBox {
  readonly name: string;
  readonly address: string;
  readonly process: string;
  readonly startedAt: number;
  readonly clock: MachineClock;
  readonly leadership: Leadership;
  readonly follower: LogFollower;
  readonly announcer: LeaderAnnouncer;
  readonly timer: NodeJS.Timeout;
  controller: LeaderController | undefined;
}

interface SimulatedEndpoint {
  readonly id: string;
  incarnation: EndpointIncarnation;
  process: SimulatedIncarnation | undefined;
}

const TOPICS = { states: 'keyed.states', endpoints: 'keyed.servers' } as const;
/** The log as the end of a link. */
const LOG = 'log';
const TICK_MS = 50;
const BOX_LATENCY_MS = 2;
const BOX_TIMEOUT_MS = 200;
const MAX_BOX_DRIFT = 0.01;
const MAX_ENDPOINT_DRIFT = 0.02;
const TASK_CPU_MILLIS = 1000;
const TASKS_PER_ENDPOINT = 3;
/** Time from the loss of an endpoint until its record expires. */
const RECORD_EXPIRY_MS = 4500;

/**
 * Boxes that elect leaders, endpoints and the log, on virtual time. Each link can be cut in either direction, and each machine has a clock of its own.
 * The boxes run the product's code from the election to the polls and commands; what connects it is that of `ServeProcess`.
 */
export class LeaseSimulation {
  readonly runChecker = new RunChecker(TASKS_PER_ENDPOINT);
  readonly boxes: (SimulatedBox | undefined)[] = [];
  readonly endpoints: SimulatedEndpoint[] = [];
  /** Log lines of the boxes. */
  readonly lines: {
    readonly at: number;
    readonly box: string;
    readonly message: string;
    readonly fields: unknown;
  }[] = [];
  private readonly random: Random;
  readonly log: MemoryLog;
  /** Cut directions of links, each as `FROM>TO`. */
  private readonly cuts = new Map<string, number>();
  private processCount = 0;
  private startTime = 1_700_000_000_000;

  constructor(private readonly options: LeaseSimulationOptions) {
    this.random = createRandom(options.seed);
    this.log = new MemoryLog(this.random);
    for (let index = 0; index < options.endpoints; index += 1) {
      this.startEndpoint(`i-${index}`);
    }
    for (let index = 0; index < options.boxes; index += 1) {
      this.startBox(index);
    }
  }

  /** Returns the index of the box that leads by the newest record, if it runs. */
  findLeader(): number | undefined {
    const index = this.boxes.findIndex((box) => box?.controller?.isActive() === true);
    return index < 0 ? undefined : index;
  }

  /** Cuts links for some time, each in one direction: `FROM>TO`, where the ends are names of boxes, ids of endpoints, or `log`. */
  async runCut(links: readonly string[], forMs: number): Promise<void> {
    this.startCut(links);
    await waitForDelay(forMs);
    this.stopCut(links);
  }

  startCut(links: readonly string[]): void {
    links.forEach((link) => this.cuts.set(link, (this.cuts.get(link) ?? 0) + 1));
  }

  stopCut(links: readonly string[]): void {
    links.forEach((link) => this.cuts.set(link, this.cuts.get(link)! - 1));
  }

  /** Ends the process of a box. */
  stopBox(index: number): void {
    const box = this.boxes[index];
    this.boxes[index] = undefined;
    clearInterval(box?.timer);
    box?.leadership.stop();
    box?.follower.stop();
    box?.controller?.stop();
  }

  /** Starts a process of a box, which is at the box's address, or at a new one. */
  startBox(index: number, isReplacement = false): void {
    this.processCount += 1;
    const name = `box-${index}`;
    const address = isReplacement ? `${name}:${this.processCount}` : `${name}:1`;
    const process = `${name}#${this.processCount}`;
    const rate = 1 + (2 * this.random() - 1) * MAX_BOX_DRIFT;
    const startOffset = this.random() * 1000;
    const getNow = (): number => performance.now() * rate + startOffset;
    const clock = {
      getNow,
      getWallTime: () => Date.now(),
      getMaxElapsedSince: (since: number) => getNow() - since,
    };
    const record = (message: string, fields?: object): void =>
      void this.lines.push({ at: Math.round(performance.now()), box: process, message, fields });
    const logger = { info: record, warn: record, error: record };
    const client = this.createLogClient(name);
    const follower: LogFollower = new LogFollower({
      logger: { info: () => undefined, warn: () => undefined, error: () => undefined },
      client,
      topic: TOPICS.states,
      clock,
      random: this.random,
      pauseMs: 350,
      pollWaitMs: 500,
      handleRecords: (records) => box.leadership.foldRecords(records),
      handleConnection: (isConnected) => box.leadership.handleLogConnection(isConnected),
    });
    const leadership = new Leadership({
      client,
      topic: TOPICS.states,
      follower,
      box: name,
      address,
      process,
      clock,
      random: this.random,
      logger,
      longestLeaseMs: 10_000,
      isOutranked: () => false,
      isReadyToLead: () => true,
      handleElected: (election) => this.startLeading(box, client, logger, election),
    });
    const announcer = new LeaderAnnouncer({
      clock,
      logger,
      listOthers: () => this.listOthers(box),
      createLeaderAnnouncement: () => this.createAnnouncement(box),
      isResponseAwaited: (other) => leadership.isResponseAwaited(other),
      handleBoxProcess: (report, epoch) => {
        leadership.handleBoxProcess(report, epoch);
        box.controller?.setEarlierLeasesEnd(leadership.getEarlierLeasesEndAt());
      },
    });
    const timer = setInterval(() => {
      leadership.handleTick();
      announcer.handleTick();
    }, TICK_MS);
    const box: SimulatedBox = {
      name,
      address,
      process,
      startedAt: getNow(),
      clock,
      leadership,
      follower,
      announcer,
      timer,
      controller: undefined,
    };
    this.boxes[index] = box;
    void follower.start();
  }

  /** Ends an endpoint for good, with its runs. Its record expires later. */
  stopEndpoint(index: number): void {
    const endpoint = this.endpoints[index]!;
    endpoint.process?.stop();
    endpoint.process = undefined;
    setTimeout(() => this.log.writeRecord(TOPICS.endpoints, endpoint.id, ''), RECORD_EXPIRY_MS);
  }

  /**
   * Ends an endpoint with its runs, and starts it again under its id. The next incarnation carries out a poll for the earlier one, which grants a lease
   * by the earlier clock.
   */
  startNextIncarnation(index: number): void {
    const endpoint = this.endpoints[index]!;
    const earlier = endpoint.process;
    earlier?.stop();
    this.startTime += 1000;
    endpoint.incarnation = endpointIncarnations.toIncarnation(toId<EndpointId>(endpoint.id), this.startTime);
    endpoint.process = this.createIncarnation(endpoint.incarnation);
    endpoint.process.handlePoll(0, (earlier?.getClock() ?? 0) + leaderTimings.leaseMs);
    this.writeEndpointRecord(endpoint);
  }

  stop(): void {
    this.boxes.forEach((_box, index) => this.stopBox(index));
    this.endpoints.forEach(({ process }) => process?.stop());
  }

  private startEndpoint(id: string): void {
    const incarnation = toId<EndpointIncarnation>(id);
    const endpoint = { id, incarnation, process: this.createIncarnation(incarnation) };
    this.endpoints.push(endpoint);
    this.writeEndpointRecord(endpoint);
  }

  private createIncarnation(incarnation: EndpointIncarnation): SimulatedIncarnation {
    return new SimulatedIncarnation({
      incarnation,
      runChecker: this.runChecker,
      handleCrash: () => undefined,
      clockRate: 1 - this.random() * MAX_ENDPOINT_DRIFT,
    });
  }

  private writeEndpointRecord({ id, incarnation }: SimulatedEndpoint): void {
    const cpuMillis = TASKS_PER_ENDPOINT * TASK_CPU_MILLIS;
    const capacity = { cpuMillis, memoryMb: 100_000, accelerators: 0 };
    const profile = createProfile(id, { incarnation, capacity });
    this.log.writeRecord(TOPICS.endpoints, id, JSON.stringify(profile));
  }

  private startLeading(
    box: SimulatedBox,
    client: LogClient,
    logger: ConstructorParameters<typeof LeaderController>[0]['logger'],
    election: Parameters<ConstructorParameters<typeof Leadership>[0]['handleElected']>[0],
  ): void {
    const { job, toEarlierLeasesEnd = (endAt: number) => endAt } = this.options;
    const replica = new JobReplica();
    replica.recordDefinition(job);
    box.follower.stop();
    const handleLeadershipLost = (): void => {
      box.controller = undefined;
      box.leadership.handleLeadershipLost();
      void box.follower.start();
    };
    box.controller = new LeaderController(
      createLeaderOptions(client, {
        ...election,
        earlierLeasesEndAt: toEarlierLeasesEnd(election.earlierLeasesEndAt, box.clock.getNow()),
        replica,
        clock: box.clock,
        random: this.random,
        logger,
        parseEndpoint: (_id, text) => ({ ok: true, value: JSON.parse(text) as EndpointProfile }),
        createEndpointClient: (profile, getToken) => this.createEndpointClient(box, profile, getToken),
        listOtherBoxes: () => this.listOthers(box),
        formatLeaderRecord: (isResigned, witnesses, extendedLeases) =>
          box.leadership.formatLeaderRecord(election.epoch, isResigned, witnesses, extendedLeases),
        handleLeadershipLost,
      }),
    );
    box.controller.start();
  }

  private listOthers(
    box: SimulatedBox,
  ): ReturnType<ConstructorParameters<typeof LeaderAnnouncer>[0]['listOthers']> {
    return this.boxes.flatMap((other, index) => {
      const name = `box-${index}`;
      if (name === box.name) {
        return [];
      }
      const address = other?.address ?? `${name}:1`;
      const client = {
        address,
        requestVouch: (epoch: number) =>
          this.sendToBox(box, index, (responder) => ({
            box: responder.name,
            process: responder.process,
            isVouched: responder.leadership.getVoucher().handleVouchRequest(epoch),
          })),
        sendLeaderAnnouncement: (announcement: LeaderAnnouncement) =>
          this.sendToBox(box, index, (responder) => this.handleAnnouncement(responder, announcement)),
      };
      return [{ box: name, announcedAt: 0, client: client as never }];
    });
  }

  private createAnnouncement(box: SimulatedBox): LeaderAnnouncement | undefined {
    const record = box.leadership.getLeaderRecord();
    return record?.process === box.process && box.controller !== undefined
      ? { record, address: box.address, cores: 1, linkMbps: 0 }
      : undefined;
  }

  private handleAnnouncement(box: SimulatedBox, { record }: LeaderAnnouncement): object {
    if (box.leadership.handleAnnouncement(record) && box.controller !== undefined) {
      box.controller.stop();
      box.controller = undefined;
      box.leadership.handleLeadershipLost();
      void box.follower.start();
    }
    const vouchedMs = box.leadership.getVoucher().getVouchAgeMs();
    const upMs = box.clock.getNow() - box.startedAt;
    return { box: box.name, process: box.process, upMs, ...(vouchedMs === undefined ? {} : { vouchedMs }) };
  }

  private isCut(from: string, to: string): boolean {
    return (this.cuts.get(`${from}>${to}`) ?? 0) > 0;
  }

  private async sendToBox<Response>(
    from: SimulatedBox,
    to: number,
    createResponse: (responder: SimulatedBox) => Response,
  ): Promise<Response | undefined> {
    const name = `box-${to}`;
    await waitForDelay(BOX_LATENCY_MS + this.random() * BOX_LATENCY_MS);
    const responder = this.boxes[to];
    const response =
      responder === undefined || this.isCut(from.name, name) ? undefined : createResponse(responder);
    await waitForDelay(BOX_LATENCY_MS);
    if (response === undefined || this.isCut(name, from.name)) {
      await waitForDelay(BOX_TIMEOUT_MS);
      return undefined;
    }
    return response;
  }

  /** Creates a client of the log whose calls are lost, or not answered, while the link is cut in one of its directions. */
  private createLogClient(name: string): LogClient {
    const send = async <Response extends { readonly ok: boolean }>(
      timeoutMs: number,
      call: () => Promise<Response>,
    ): Promise<Response> => {
      const failure = { ok: false, error: { kind: 'unknown', detail: 'cut' } } as unknown as Response;
      if (this.isCut(name, LOG)) {
        await waitForDelay(timeoutMs);
        return failure;
      }
      const response = await call();
      if (this.isCut(LOG, name)) {
        await waitForDelay(timeoutMs);
        return failure;
      }
      return response;
    };
    return {
      append: (request) => send(request.timeoutMs, () => this.log.append(request)),
      readRecords: (request) => send(request.timeoutMs, () => this.log.readRecords(request)),
      readPageOfNewestByKey: (request) =>
        send(request.timeoutMs, () => this.log.readPageOfNewestByKey(request)),
      stop: () => Promise.resolve(),
    };
  }

  private createEndpointClient(
    box: SimulatedBox,
    { id, incarnation }: EndpointProfile,
    getToken: () => number,
  ): EndpointClient {
    let clockOffsetMs: number | undefined;
    const findEndpoint = (): SimulatedEndpoint => this.endpoints.find((endpoint) => endpoint.id === id)!;
    const send = async <Response>(
      timeoutMs: number,
      deliver: (process: SimulatedIncarnation) => Promise<Response> | Response,
    ): Promise<Response | { readonly kind: 'unanswered'; readonly detail: string }> => {
      await waitForDelay(BOX_LATENCY_MS + this.random() * BOX_LATENCY_MS);
      const { process } = findEndpoint();
      const isDelivered = process !== undefined && !this.isCut(box.name, id);
      const response = isDelivered ? await deliver(process) : undefined;
      await waitForDelay(BOX_LATENCY_MS);
      if (response === undefined || process?.hasEnded !== false || this.isCut(id, box.name)) {
        await waitForDelay(timeoutMs);
        return { kind: 'unanswered', detail: 'cut' };
      }
      return response;
    };
    const toExpiry = (leaseMs: number): number => box.clock.getNow() + (clockOffsetMs ?? 0) + leaseMs;
    return {
      sendStart: ({ task, run, spec }, leaseMs, timeoutMs) => {
        const [token, expiresMs] = [getToken(), toExpiry(leaseMs)];
        return send(timeoutMs, (process) => {
          const result = process.handleStart(task, run, spec, expiresMs, token);
          return result === 'done' ? { kind: 'done' } : { kind: 'rejected', reason: result };
        });
      },
      sendStop: (task, run, timeoutMs) => {
        const token = getToken();
        return send(timeoutMs, (process) => {
          if (!process.checkToken(token)) {
            return { kind: 'rejected', reason: 'fence' };
          }
          process.handleStop(task, run);
          return { kind: 'done' };
        });
      },
      sendPoll: ({ acknowledgedUpTo, leaseMs, waitMs, timeoutMs }) => {
        const token = getToken();
        const expiresMs =
          leaseMs === undefined || clockOffsetMs === undefined ? undefined : toExpiry(leaseMs);
        return send<PollResult>(timeoutMs, async (process) => {
          if (!process.checkToken(token)) {
            return { kind: 'fenced' };
          }
          const responder = findEndpoint().incarnation;
          process.handlePoll(acknowledgedUpTo, expiresMs);
          await process.waitForEnd(waitMs);
          if (responder !== incarnation) {
            return { kind: 'otherLife', incarnation: responder };
          }
          clockOffsetMs = process.getClock() - box.clock.getNow();
          return { kind: 'held', ...process.getStatus() };
        });
      },
      stop: () => Promise.resolve(),
    };
  }
}
