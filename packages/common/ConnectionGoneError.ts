/** Thrown for a request that must reuse an open connection when there is none. Nothing was sent. */
export class ConnectionGoneError extends Error {
  static readonly CODE = 'CONNECTION_GONE';
  readonly code = ConnectionGoneError.CODE;

  constructor() {
    super('The connection is gone.');
  }
}
