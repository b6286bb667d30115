import { createServer, type Server } from 'node:http';
import { readJsonBody } from '../readJsonBody';
import { sendJson } from '../sendJson';
import { startListening } from '../startListening';
import { SilentSockets } from './SilentSockets';
import { ticketTexts } from './ticketTexts';

/** Stands in for the advice service: every endpoint but those refused may run every step. */
export class AdviceStandin {
  private server: Server | undefined;
  private questionCount = 0;
  private refused: readonly string[] = [];
  private readonly sockets = new SilentSockets();

  constructor(private readonly address: string) {}

  async start(): Promise<void> {
    this.server = createServer((request, response) => {
      void readJsonBody(request).then((body) => {
        if (this.sockets.isSilent(request)) {
          return;
        }
        this.questionCount += 1;
        const { step, workers } = body as { step: string; workers: readonly string[] };
        const good = workers
          .filter((id) => !this.refused.includes(id))
          .map((id) => [id, ticketTexts.format(step, id)]);
        sendJson(response, 200, { good });
      });
    });
    this.sockets.recordServer(this.server);
    await startListening(this.server, this.address);
  }

  async stop(): Promise<void> {
    this.server?.closeAllConnections();
    await new Promise((resolve) => this.server?.close(resolve));
  }

  /** Silences all connections that are open now. New ones work. */
  applySilence(): void {
    this.sockets.applySilence();
  }

  applyRefused(endpoints: readonly string[]): void {
    this.refused = endpoints;
  }

  readQuestionCount(): number {
    return this.questionCount;
  }
}
