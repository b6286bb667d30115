import { createServer, type Server } from 'node:http';
import { readJsonBody } from '../readJsonBody';
import { sendJsonText } from '../sendJsonText';
import { startListening } from '../startListening';
import { BlackholedConnections } from './BlackholedConnections';
import { ticketTexts } from './ticketTexts';

/** Stands in for the advice service. Returns a ticket for every requested endpoint that is not set as rejected, for all steps alike. */
export class AdviceStandin {
  private server: Server | undefined;
  private requestCount = 0;
  private rejectedEndpoints: readonly string[] = [];
  /** Body of all responses; undefined for tickets. */
  private replacedBody: string | undefined;
  private readonly connections = new BlackholedConnections();

  constructor(private readonly address: string) {}

  async start(): Promise<void> {
    this.server = createServer((request, response) => {
      void readJsonBody(request).then((body) => {
        if (this.connections.isBlackholed(request)) {
          return;
        }
        this.requestCount += 1;
        const { step, workers } = body as { step: string; workers: readonly string[] };
        const good = workers
          .filter((id) => !this.rejectedEndpoints.includes(id))
          .map((id) => [id, ticketTexts.format(step, id)]);
        sendJsonText(response, 200, this.replacedBody ?? JSON.stringify({ good }));
      });
    });
    this.connections.addServer(this.server);
    await startListening(this.server, this.address);
  }

  async stop(): Promise<void> {
    this.server?.closeAllConnections();
    await new Promise((resolve) => this.server?.close(resolve));
  }

  /** Blackholes all connections that are open now. New connections work. */
  applyBlackhole(): void {
    this.connections.applyBlackhole();
  }

  /** Sets the endpoints that no step may run on. */
  setRejectedEndpoints(endpoints: readonly string[]): void {
    this.rejectedEndpoints = endpoints;
  }

  /** Sets the body of all responses from now on; undefined for tickets again. */
  setReplacedBody(body: string | undefined): void {
    this.replacedBody = body;
  }

  /** Returns the number of advice requests that got a response. */
  countRequests(): number {
    return this.requestCount;
  }
}
