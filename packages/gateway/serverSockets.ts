import type { Server } from 'node:http';
import type { Socket } from 'node:net';

const sockets = new WeakMap<Server, Set<Socket>>();

/** Tracks the open connections of HTTP servers, including upgraded ones, which Node's `closeAllConnections` omits. */
export const serverSockets = {
  /** Starts to track the connections of a server. */
  startTracking: (server: Server): void => {
    const open = new Set<Socket>();
    sockets.set(server, open);
    server.on('connection', (socket) => {
      open.add(socket);
      socket.once('close', () => open.delete(socket));
    });
  },

  /** Destroys all tracked connections of a server. */
  stopAll: (server: Server): void => sockets.get(server)?.forEach((socket) => socket.destroy()),
} as const;
