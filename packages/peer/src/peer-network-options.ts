import {
	type EntryId, type InputEvent, type LogLevel, type PeerMessage,
} from '@pistachiogauge/model';

/** @public */
export type PeerNetworkOptions = {
	readonly id: EntryId;
	/** IP number and port to listen on. */
	readonly address: string;
	/** Secret that all entries share. */
	readonly secret: string;
	/** A link that brings nothing for this long is closed and opened again. */
	readonly idleTimeoutMs: number;
	readonly pushEvent: (event: InputEvent) => void;
	readonly log: (level: LogLevel, message: string, fields: Record<string, string | number>) => void;
	/** Counts refusals, faulty frames, and frames and bytes in each direction. */
	readonly count: (metric: string, by?: number) => void;
};

/** @public */
export type PeerNetwork = {
	start(): Promise<void>;
	stop(): Promise<void>;
	/** Sends a message; it is dropped when there is no link, which `link-down` has told. */
	sendMessage(to: EntryId, message: PeerMessage): void;
	openLink(entryId: EntryId, address: string): void;
	closeLink(entryId: EntryId): void;
};
