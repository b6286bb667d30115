import type { Server } from 'node:http';
import { WebSocketServer } from 'ws';
import type { Clock } from '../common/Clock';
import type { Logger } from '../common/Logger';
import { relayPath } from './relayPath';
import { RelaySession } from './RelaySession';

interface RelayServerOptions {
  readonly server: Server;
  readonly clock: Clock;
  readonly logger: Logger;
}

/** Largest frame of a leader. */
const MAX_FRAME_BYTES = 8_388_608;

/** Call relay of this box: sends calls to endpoints on behalf of leaders that run on other boxes. */
export class RelayServer {
  private readonly socketServer: WebSocketServer;
  private readonly sessions = new Set<RelaySession>();
  private isLeaving = false;

  constructor({ server, clock, logger }: RelayServerOptions) {
    this.socketServer = new WebSocketServer({
      server,
      path: relayPath,
      maxPayload: MAX_FRAME_BYTES,
      perMessageDeflate: false,
    });
    this.socketServer.on('connection', (socket) => {
      const session = new RelaySession({ socket, clock, logger });
      this.sessions.add(session);
      socket.on('close', () => this.sessions.delete(session));
      if (this.isLeaving) {
        session.sendLeave();
      }
    });
  }

  /** Tells leaders that this box is about to stop, so that they use others. Calls that still come are sent. */
  sendLeave(): void {
    this.isLeaving = true;
    this.sessions.forEach((session) => session.sendLeave());
  }

  /** Closes the connections of all leaders and gives up their calls. */
  stop(): void {
    this.sessions.forEach((session) => session.stop());
    this.sessions.clear();
    this.socketServer.close();
  }
}
