import {
	type EntryId, type InputEvent, type LogLevel, type PeerMessage,
} from '@pistachiogauge/model';

/** @public */
export type PeerNetworkOptions = {
	readonly id: EntryId;
	/** IP address and port to listen on. */
	readonly address: string;
	/** Secret shared by all entries. */
	readonly secret: string;
	/** A link that receives nothing for this long is closed and opened again. */
	readonly idleTimeoutMs: number;
	readonly pushEvent: (event: InputEvent) => void;
	readonly log: (level: LogLevel, message: string, fields: Record<string, string | number>) => void;
	/** Counts refused links, malformed frames, and frames and bytes in each direction. */
	readonly count: (metric: string, by?: number) => void;
};

/** @public */
export type PeerNetwork = {
	start(): Promise<void>;
	stop(): Promise<void>;
	/** Sends a message. It is dropped when there is no link, which a `link-down` event has reported before. */
	sendMessage(to: EntryId, message: PeerMessage): void;
	/** Keeps a link to another entry open, reconnecting with backoff, until `closeLink`. */
	openLink(entryId: EntryId, address: string): void;
	closeLink(entryId: EntryId): void;
};
