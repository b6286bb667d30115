/** What the bench asks of its process of callers. Requests without body bytes read a job's state, the others submit a job. */
export type CallerOrder =
  | {
      readonly kind: 'send';
      readonly port: number;
      readonly bodyBytes: number;
      readonly requestCount: number;
      /** Number of callers; each sends its next request after its last response. */
      readonly callerCount: number;
      /** True if a caller opens a connection for each request and closes it after the response. */
      readonly opensEachTime: boolean;
    }
  | {
      readonly kind: 'hold';
      readonly port: number;
      /** Size of the body of the one request on each connection; undefined for connections without a request. */
      readonly bodyBytes: number | undefined;
      readonly connectionCount: number;
    }
  | { readonly kind: 'release' };
