/** Options of a `JsonClient`. */
export interface JsonClientOptions {
  /** Host and port. */
  readonly address: string;
  /** Maximum number of concurrent connections; 1 if requests must reuse the connection. */
  readonly connections: number;
  /** Headers of all requests, besides the content type. */
  readonly headers: Readonly<Record<string, string>>;
}
