import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import type { StandinBox } from './StandinBox';
import type { StandinFaults } from './StandinFaults';
import type { StandinReport } from './StandinReport';
import { readJsonBody } from './readJsonBody';
import { sendJson } from './sendJson';
import { startListening } from './startListening';
import { StandinStream } from './StandinStream';

interface PlatformStandinOptions {
  /** `HOST:PORT` to listen on. */
  readonly address: string;
  /** Delay until a worker's report becomes visible, in milliseconds. */
  readonly reportLagMs: number;
  /** Delay until a change of the box list becomes visible, in milliseconds. */
  readonly listLagMs: number;
}

type RequestHandler = (url: URL, request: IncomingMessage, response: ServerResponse) => Promise<void>;

interface StoredReport {
  readonly report: StandinReport;
  /** Monotonic time at which the report arrived, in milliseconds. */
  readonly storedAt: number;
}

/**
 * Stands in for the platform in development and tests: log, box list and worker reports over HTTP.
 * Requests under /standin set its state and inject faults.
 */
export class PlatformStandin {
  private readonly streams = new Map<string, StandinStream>();
  private boxes: readonly StandinBox[] = [];
  private visibleBoxes: readonly StandinBox[] = [];
  private visibleBoxesVersion = 0;
  private readonly reportsByWorker = new Map<string, StoredReport[]>();
  private faults: StandinFaults = { isDown: false, delayMs: 0, loseAnswers: 0, cutBoxes: [] };
  private server: Server | undefined;
  private appendCount = 0;
  private readCount = 0;
  /** Number of requests received, other than control requests, whether they got a response or not. */
  private requestCount = 0;

  private readonly handlers: Readonly<Record<string, RequestHandler>> = {
    'POST /streams': (url, request, response) => this.handleAppend(url, request, response),
    'GET /streams': (url, _request, response) => this.handleRead(url, response),
    'GET /boxes': (url, request, response) => this.handleBoxes(url, request, response),
    'GET /reports': (url, _request, response) => this.handleReports(url, response),
    'POST /standin': (url, request, response) => this.handleControl(url, request, response),
    'GET /standin': (_url, _request, response) => this.handleGetCounts(response),
  };

  constructor(private readonly options: PlatformStandinOptions) {}

  async start(): Promise<void> {
    this.server = createServer((request, response) => {
      this.handleRequest(request, response).catch(() => response.destroy());
    });
    await startListening(this.server, this.options.address);
  }

  stop(): void {
    this.server?.close();
    this.server?.closeAllConnections();
  }

  private async handleRequest(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const url = new URL(request.url ?? '/', 'http://platform');
    const part = `/${url.pathname.split('/')[1] ?? ''}`;
    const isControl = part === '/standin';
    const client = request.headers['user-agent']?.split(' ')[1] ?? '';
    const isPartitioned = this.faults.isDown || this.faults.cutBoxes.includes(client);
    this.requestCount += isControl ? 0 : 1;
    if (!isControl && isPartitioned) {
      request.socket.destroy();
      return;
    }
    if (!isControl && this.faults.delayMs > 0) {
      await new Promise((resolve) => setTimeout(resolve, this.faults.delayMs));
    }
    const handler = this.handlers[`${request.method} ${part}`];
    if (handler === undefined) {
      sendJson(response, 404, { error: 'unknown path' });
      return;
    }
    await handler(url, request, response);
  }

  private getStream(url: URL): StandinStream {
    const name = decodeURIComponent(url.pathname.split('/')[2] ?? '');
    const stream = this.streams.get(name) ?? new StandinStream();
    this.streams.set(name, stream);
    return stream;
  }

  private async handleAppend(url: URL, request: IncomingMessage, response: ServerResponse): Promise<void> {
    const body = (await readJsonBody(request)) as { value: unknown };
    const offset = this.getStream(url).appendValue(body.value);
    this.appendCount += 1;
    const isLost = Math.random() < this.faults.loseAnswers || this.faults.isDown;
    if (isLost) {
      request.socket.destroy();
      return;
    }
    sendJson(response, 200, { offset });
  }

  private async handleRead(url: URL, response: ServerResponse): Promise<void> {
    this.readCount += 1;
    const stream = this.getStream(url);
    const from = Number(url.searchParams.get('from') ?? 0);
    const limit = Number(url.searchParams.get('limit') ?? 500);
    await stream.waitForRecord(from, Number(url.searchParams.get('waitMs') ?? 0));
    if (this.faults.isDown) {
      response.destroy();
      return;
    }
    sendJson(response, 200, stream.getPage(from, limit));
  }

  private async handleBoxes(url: URL, request: IncomingMessage, response: ServerResponse): Promise<void> {
    const hall = url.searchParams.get('hall');
    const tag = `"${this.visibleBoxesVersion}"`;
    if (request.headers['if-none-match'] === tag) {
      response.writeHead(304).end();
      return;
    }
    response.setHeader('etag', tag);
    sendJson(response, 200, { boxes: this.visibleBoxes.filter((box) => box.hall === hall) });
  }

  private async handleReports(url: URL, response: ServerResponse): Promise<void> {
    const hall = url.searchParams.get('hall');
    const now = performance.now();
    const visibleReports = [];
    for (const stored of this.reportsByWorker.values()) {
      const newest = stored.filter((entry) => entry.storedAt <= now - this.options.reportLagMs).at(-1);
      if (newest !== undefined && newest.report.hall === hall) {
        const { worker, tasks, ageMs } = newest.report;
        visibleReports.push({ worker, tasks, ageMs: ageMs + now - newest.storedAt });
      }
    }
    sendJson(response, 200, { reports: visibleReports });
  }

  private async handleControl(url: URL, request: IncomingMessage, response: ServerResponse): Promise<void> {
    const body = await readJsonBody(request);
    const setters: Readonly<Record<string, (value: unknown) => void>> = {
      '/standin/boxes': (value) => this.updateBoxes(value as readonly StandinBox[]),
      '/standin/faults': (value) => this.setFaults(value as Partial<StandinFaults>),
      '/standin/reports': (value) => this.recordReports(value as readonly StandinReport[]),
      '/standin/trim': (value) => this.applyTrim(value as { stream: string; first: number }),
    };
    setters[url.pathname]?.(body);
    sendJson(response, 200, {});
  }

  private async handleGetCounts(response: ServerResponse): Promise<void> {
    sendJson(response, 200, { appends: this.appendCount, reads: this.readCount, calls: this.requestCount });
  }

  /** Makes a new box list and its version visible to readers after the configured delay. */
  private updateBoxes(boxes: readonly StandinBox[]): void {
    this.boxes = boxes;
    setTimeout(() => {
      this.visibleBoxes = boxes;
      this.visibleBoxesVersion += 1;
    }, this.options.listLagMs);
  }

  private setFaults(faults: Partial<StandinFaults>): void {
    this.faults = { ...this.faults, ...faults };
    if (this.faults.isDown) {
      this.server?.closeIdleConnections();
    }
  }

  private applyTrim(trim: { stream: string; first: number }): void {
    this.streams.get(trim.stream)?.removeRecordsBefore(trim.first);
  }

  private recordReports(reports: readonly StandinReport[]): void {
    const storedAt = performance.now();
    for (const report of reports) {
      const recent = (this.reportsByWorker.get(report.worker) ?? []).slice(-20);
      recent.push({ report, storedAt });
      this.reportsByWorker.set(report.worker, recent);
    }
  }
}
