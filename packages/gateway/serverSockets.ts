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

  /** Destroys all tracked connections of a server; returns their number. */
  stopAll: (server: Server): number => {
    const open = [...(sockets.get(server) ?? [])];
    open.forEach((socket) => socket.destroy());
    return open.length;
  },

  /** Destroys the tracked connections on which no request is in progress, including those that have received nothing yet. */
  stopIdle: (server: Server): void => {
    server.closeIdleConnections();
    // Node counts a connection that has received nothing as active.
    sockets.get(server)?.forEach((socket) => {
      if (socket.bytesRead === 0) {
        socket.destroy();
      }
    });
  },
} as const;
