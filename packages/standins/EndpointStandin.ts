import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import { demandMath } from '../scheduler/demandMath';
import type { Demand } from '../table/Demand';
import type { EndpointFault } from './EndpointFault';
import type { EndpointStats } from './EndpointStats';
import { readJsonBody } from './readJsonBody';
import { sendJson } from './sendJson';
import type { StandinBox } from './StandinBox';
import type { StandinReport } from './StandinReport';
import type { StandinTask } from './StandinTask';
import { startListening } from './startListening';

const SLOW_RUN_FACTOR = 10;
const DEFAULT_RUN_MS = 20;

/**
 * Stands in for an endpoint box in tests. It rejects only commands with an outdated fencing token, runs everything else without a check of
 * its capacity, and keeps statistics by which tests detect overcommitment. The request says how long its task runs.
 */
export class EndpointStandin {
  private readonly runningTasks = new Map<string, StandinTask>();
  private readonly startCounts = new Map<string, number>();
  private peakDemand: Demand = demandMath.NOTHING;
  private peakConnectionCount = 0;
  private connectionCount = 0;
  private fault: EndpointFault = 'none';
  /** Highest fencing token seen; runs and fence requests with a lower one are rejected. */
  private highestToken = 0;
  private server: Server | undefined;

  constructor(private readonly box: StandinBox) {}

  async start(): Promise<void> {
    const server = createServer((request, response) => {
      this.handleRequest(request, response).catch(() => response.destroy());
    });
    server.keepAliveTimeout = 60_000;
    server.on('connection', (socket) => {
      this.connectionCount += 1;
      this.peakConnectionCount = Math.max(this.peakConnectionCount, this.connectionCount);
      socket.on('close', () => {
        this.connectionCount -= 1;
      });
    });
    this.server = server;
    await startListening(server, this.box.address);
  }

  stop(): void {
    this.server?.close();
    this.server?.closeAllConnections();
  }

  /** Returns a report of the running tasks and the remaining time of their leases, in the form that workers send to the platform. */
  createReport(): StandinReport {
    const now = performance.now();
    const tasks = [...this.runningTasks.values()].map((task) => ({
      task: task.taskId,
      need: task.demand,
      endsWithinMs: Math.max(0, task.leaseEndsAt - now),
    }));
    return { worker: this.box.worker, hall: this.box.hall, ageMs: 0, tasks };
  }

  private async handleRequest(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const [, part, name, action] = (request.url ?? '/').split('?')[0]?.split('/') ?? [];
    if (part === 'run' && name !== undefined) {
      await this.handleRunRequest(name, request, response);
    } else if (part === 'fence') {
      this.handleFence(request, response);
    } else if (part === 'tasks' && name !== undefined) {
      this.handleTaskAction(decodeURIComponent(name), action ?? '', request, response);
    } else if (part === 'standin' && name === 'fault') {
      this.fault = (await readJsonBody(request)) as EndpointFault;
      sendJson(response, 200, {});
    } else if (part === 'standin') {
      sendJson(response, 200, this.createStats());
    } else {
      sendJson(response, 404, { error: 'unknown path' });
    }
  }

  private createStats(): EndpointStats {
    const running = [...this.runningTasks.values()];
    return {
      worker: this.box.worker,
      peak: this.peakDemand,
      peakConnections: this.peakConnectionCount,
      capacity: this.box.capacity,
      runningCount: running.length,
      starts: Object.fromEntries(this.startCounts),
      runningSeats: running.map((task) => task.taskId).filter((task) => task.includes('/seat/')),
    };
  }

  private async handleRunRequest(
    row: string,
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const fault = this.fault;
    if (fault === 'resetBefore') {
      request.socket.destroy();
      return;
    }
    const chunks: Buffer[] = [];
    for await (const chunk of request) {
      chunks.push(chunk as Buffer);
    }
    const body = Buffer.concat(chunks);
    if (!this.applyFencingToken(request)) {
      response.setHeader('x-task-id', String(request.headers['x-task-id'] ?? ''));
      response.setHeader('x-fenced', '1');
      sendJson(response, 409, { error: 'lower token' });
      return;
    }
    const task = this.startTask(row, request, response);
    const runMs =
      Number(request.headers['x-run-ms'] ?? DEFAULT_RUN_MS) * (fault === 'slow' ? SLOW_RUN_FACTOR : 1);
    if (fault !== 'silent' && Number.isFinite(runMs)) {
      task.timers.push(setTimeout(() => this.handleTaskEnd(task, body, fault), runMs));
    }
    if (fault === 'dropAndRunOn') {
      request.socket.destroy();
    }
    this.scheduleLeaseEnd(task);
  }

  /** Returns false for a fencing token below the highest one seen; otherwise records it. A request without a token passes. */
  private applyFencingToken(request: IncomingMessage): boolean {
    const token = Number(request.headers['x-owner-token'] ?? this.highestToken);
    if (token < this.highestToken) {
      return false;
    }
    this.highestToken = token;
    return true;
  }

  /** Responds with the running tasks, or rejects an outdated fencing token. */
  private handleFence(request: IncomingMessage, response: ServerResponse): void {
    if (this.applyFencingToken(request)) {
      sendJson(response, 200, { tasks: this.createReport().tasks });
    } else {
      sendJson(response, 409, { error: 'lower token' });
    }
  }

  private startTask(row: string, request: IncomingMessage, response: ServerResponse): StandinTask {
    const id = String(request.headers['x-task-id'] ?? 'unnamed');
    const demand = JSON.parse(
      String(request.headers['x-demand'] ?? '{"cpus":0,"memoryMb":0,"accelerators":0,"slots":1}'),
    ) as Demand;
    const limitMs = Number(request.headers['x-time-limit-ms'] ?? 60_000);
    const task: StandinTask = {
      taskId: id,
      row,
      demand,
      leaseEndsAt: performance.now() + limitMs,
      response,
      timers: [],
    };
    this.runningTasks.set(id, task);
    const caller = String(request.headers['x-caller-request'] ?? id);
    const key = `${row} ${caller}`;
    this.startCounts.set(key, (this.startCounts.get(key) ?? 0) + 1);
    this.recordPeak();
    return task;
  }

  /** Stops the task when its lease has ended, otherwise schedules the next check for the end of the lease. */
  private scheduleLeaseEnd(task: StandinTask): void {
    const remainingMs = task.leaseEndsAt - performance.now();
    if (remainingMs <= 0) {
      this.stopTask(task, 410, 'lease ended');
      return;
    }
    task.timers.push(setTimeout(() => this.scheduleLeaseEnd(task), remainingMs + 1));
  }

  /** Raises the peak demand, for each resource on its own, to the sum over the running tasks. */
  private recordPeak(): void {
    let sum = demandMath.NOTHING;
    for (const task of this.runningTasks.values()) {
      sum = demandMath.toSum(sum, task.demand);
    }
    this.peakDemand = {
      cpus: Math.max(this.peakDemand.cpus, sum.cpus),
      memoryMb: Math.max(this.peakDemand.memoryMb, sum.memoryMb),
      accelerators: Math.max(this.peakDemand.accelerators, sum.accelerators),
      slots: Math.max(this.peakDemand.slots, sum.slots),
    };
  }

  private handleTaskAction(
    id: string,
    action: string,
    request: IncomingMessage,
    response: ServerResponse,
  ): void {
    const task = this.runningTasks.get(id);
    if (task === undefined) {
      sendJson(response, 404, { error: 'no such task' });
      return;
    }
    const actions: Readonly<Record<string, () => void>> = {
      renew: () => {
        task.leaseEndsAt = performance.now() + Number(request.headers['x-time-limit-ms'] ?? 0);
      },
      checkpoint: () => this.stopTask(task, 409, 'checkpoint'),
      stop: () => this.stopTask(task, 409, 'stopped'),
    };
    actions[action]?.();
    sendJson(response, 200, {});
  }

  private stopTask(task: StandinTask, status: number, reason: string): void {
    this.removeTask(task);
    if (task.response.destroyed) {
      return;
    }
    task.response.setHeader('x-task-id', task.taskId);
    task.response.setHeader('x-yielded', reason === 'checkpoint' ? '1' : '0');
    sendJson(task.response, status, { error: reason });
  }

  private removeTask(task: StandinTask): void {
    this.runningTasks.delete(task.taskId);
    for (const timer of task.timers) {
      clearTimeout(timer);
    }
  }

  private handleTaskEnd(task: StandinTask, body: Buffer, fault: EndpointFault): void {
    this.removeTask(task);
    const { response } = task;
    if (response.destroyed) {
      return;
    }
    const responseBody = Buffer.concat([Buffer.from(`${task.row}:`), body]);
    const id = fault === 'cross' ? 'another/task' : task.taskId;
    if (fault === 'resetAfter') {
      response.destroy();
      return;
    }
    if (fault === 'truncate') {
      response.writeHead(200, { 'x-task-id': id, 'content-length': responseBody.length + 10 });
      response.write(responseBody);
      response.socket?.destroySoon();
      return;
    }
    response.writeHead(200, { 'x-task-id': id, 'content-length': responseBody.length });
    response.end(responseBody);
    if (fault === 'double') {
      response.socket?.write(`HTTP/1.1 200 OK\r\nx-task-id: ${id}\r\ncontent-length: 5\r\n\r\nagain`);
    }
  }
}
