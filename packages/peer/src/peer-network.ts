import {randomUUID} from 'node:crypto';
import {createServer, type Http2Server, type ServerHttp2Session} from 'node:http2';
import {setTimeout as delay} from 'node:timers/promises';
import {
	Code, ConnectError, createClient, type ConnectRouter, type HandlerContext,
} from '@connectrpc/connect';
import {connectNodeAdapter, createConnectTransport} from '@connectrpc/connect-node';
import {type EntryId, type InputEvent} from '@pistachiogauge/model';
import {decodeFrame, encodeFrame} from './frame-codec.js';
import {FrameOutbox} from './frame-outbox.js';
import {PeerLink, type FrameBatch} from './generated/peer_pb.js';
import {listenForPeers} from './listen-for-peers.js';
import {type PeerNetwork, type PeerNetworkOptions} from './peer-network-options.js';
import {readClaimHeaders, readCredentialHeader, writeClaimHeaders} from './claim-headers.js';
import {repeatWithBackoff} from './repeat-with-backoff.js';
import {verifyPeerCredential, type PeerClaim} from './peer-credential.js';
import {PeerAuthenticationError, PeerFrameError} from './peer-errors.js';

type Link = {
	readonly entryId: EntryId;
	readonly address: string;
	readonly outbox: FrameOutbox;
	readonly abortController: AbortController;
	lastFrameAt: number;
};

type OutgoingLink = {
	readonly address: string;
	readonly abortController: AbortController;
};

/** Time to send the queued frames when the network stops. */
const flushTimeoutMs = 500;
const flushPollIntervalMs = 5;

/** Creates the network that connects one entry with the others. @public */
export function createPeerNetwork(options: PeerNetworkOptions): PeerNetwork {
	const links = new Map<EntryId, Link>();
	const outgoingLinks = new Map<EntryId, OutgoingLink>();
	const sessions = new Set<ServerHttp2Session>();
	let server: Http2Server | undefined;
	const stopController = new AbortController();

	function registerLink(entryId: EntryId, address: string, outbox: FrameOutbox, abortController: AbortController): Link {
		const link: Link = {
			entryId, address, outbox, abortController, lastFrameAt: performance.now(),
		};
		const previous = links.get(entryId);
		if (previous !== undefined) {
			removeLink(previous);
		}

		links.set(entryId, link);
		options.pushEvent({kind: 'link-up', entryId});
		return link;
	}

	function removeLink(link: Link): void {
		link.outbox.close();
		link.abortController.abort();
		if (links.get(link.entryId) === link) {
			links.delete(link.entryId);
			options.pushEvent({kind: 'link-down', entryId: link.entryId});
		}
	}

	async function receiveFrames(link: Link, batches: AsyncIterable<FrameBatch>): Promise<void> {
		for await (const batch of batches) {
			receiveBatch(link, batch);
		}
	}

	function receiveBatch(link: Link, batch: FrameBatch): void {
		link.lastFrameAt = performance.now();
		for (const frame of batch.frames) {
			options.count('peer_frames_received_total');
			options.count('peer_bytes_received_total', frame.length);
			receiveFrame(link, frame);
		}
	}

	/** Sends the queued frames, such as results that other entries still wait for, and ends the streams. */
	async function flushOutboxes(): Promise<void> {
		const startedAt = performance.now();
		for (const {outbox} of links.values()) {
			outbox.close();
		}

		while (links.size > 0 && performance.now() - startedAt < flushTimeoutMs) {
			// eslint-disable-next-line no-await-in-loop
			await delay(flushPollIntervalMs);
		}
	}

	function receiveFrame(link: Link, frame: Uint8Array): void {
		if (links.get(link.entryId) !== link) {
			return;
		}

		try {
			const message = decodeFrame(frame);
			options.pushEvent({kind: `peer-${message.kind}`, from: link.entryId, message} as InputEvent);
		} catch (error) {
			if (!(error instanceof PeerFrameError)) {
				throw error;
			}

			options.count('peer_frames_malformed_total');
			options.log('warn', 'malformed frame dropped', {peer: link.entryId, address: link.address});
		}
	}

	/** Closes a link over which nothing arrives, even when the connection reports no error. */
	function startIdleTimer(link: Link): NodeJS.Timeout {
		return setInterval(() => {
			if (performance.now() - link.lastFrameAt > options.idleTimeoutMs) {
				options.log('warn', 'link closed because nothing arrived within the idle timeout', {peer: link.entryId, address: link.address});
				removeLink(link);
			}
		}, options.idleTimeoutMs / 4);
	}

	async function * handleExchange(batches: AsyncIterable<FrameBatch>, context: HandlerContext): AsyncGenerator<{frames: Uint8Array[]}> {
		const claim = readClaimHeaders(context.requestHeader);
		const credential = readCredentialHeader(context.requestHeader);
		if (claim.to !== options.id || !verifyPeerCredential(options.secret, claim, credential, Date.now())) {
			options.count('peer_links_refused_total');
			options.log('warn', 'link refused', {peer: claim.from, address: 'incoming'});
			throw new ConnectError('not authenticated, or another incarnation', Code.Unauthenticated);
		}

		writeClaimHeaders(context.responseHeader, options.secret, {
			from: options.id, to: claim.from, issuedAt: Date.now(), nonce: claim.nonce,
		});
		const link = registerLink(claim.from, 'incoming', new FrameOutbox(), new AbortController());
		const idleTimer = startIdleTimer(link);
		const receiving = receiveFrames(link, batches).catch(() => undefined).finally(() => {
			removeLink(link);
		});
		try {
			// An empty first batch sends the response headers at once.
			yield {frames: []};
			for await (const frames of link.outbox.readBatches()) {
				yield {frames};
			}

			if (stopController.signal.aborted) {
				await Promise.race([receiving, delay(flushTimeoutMs)]);
			}
		} finally {
			clearInterval(idleTimer);
			removeLink(link);
		}
	}

	async function runClientLink(entryId: EntryId, address: string, signal: AbortSignal): Promise<void> {
		const claim: PeerClaim = {
			from: options.id, to: entryId, issuedAt: Date.now(), nonce: randomUUID(),
		};
		const headers = new Headers();
		writeClaimHeaders(headers, options.secret, claim);
		const transport = createConnectTransport({baseUrl: `http://${address}`, httpVersion: '2'});
		const client = createClient(PeerLink, transport);
		const outbox = new FrameOutbox();
		const abortController = new AbortController();
		const stop = () => {
			abortController.abort();
			outbox.close();
		};

		signal.addEventListener('abort', stop, {once: true});
		const connectTimer = setTimeout(stop, options.idleTimeoutMs);
		let link: Link | undefined;
		let idleTimer: NodeJS.Timeout | undefined;
		try {
			const batches = client.exchange(readOutboxBatches(outbox), {
				headers,
				signal: abortController.signal,
				onHeader(responseHeaders) {
					verifyResponseClaim(responseHeaders, claim);
					clearTimeout(connectTimer);
					link = registerLink(entryId, address, outbox, abortController);
					idleTimer = startIdleTimer(link);
				},
			});
			for await (const batch of batches) {
				if (link === undefined) {
					throw new PeerAuthenticationError('frames arrived before the peer authenticated itself');
				}

				receiveBatch(link, batch);
			}
		} finally {
			clearTimeout(connectTimer);
			clearInterval(idleTimer);
			signal.removeEventListener('abort', stop);
			stop();
			if (link !== undefined) {
				removeLink(link);
			}
		}
	}

	function verifyResponseClaim(headers: Headers, sentClaim: PeerClaim): void {
		const claim = readClaimHeaders(headers);
		const credential = readCredentialHeader(headers);
		const isExpected = claim.from === sentClaim.to && claim.to === options.id && claim.nonce === sentClaim.nonce;
		if (!isExpected || !verifyPeerCredential(options.secret, claim, credential, Date.now())) {
			options.count('peer_links_refused_total');
			throw new PeerAuthenticationError(`the entry at the address of ${sentClaim.to} has not authenticated itself`);
		}
	}

	async function keepLinkOpen(entryId: EntryId, {address, abortController}: OutgoingLink): Promise<void> {
		const signal = AbortSignal.any([abortController.signal, stopController.signal]);
		await repeatWithBackoff(async () => runClientLink(entryId, address, abortController.signal), signal, error => {
			options.log('debug', 'link ended', {peer: entryId, address, reason: error instanceof Error ? error.message : String(error)});
		});
	}

	return {
		async start() {
			const routes = (router: ConnectRouter) => router.service(PeerLink, {exchange: handleExchange});
			server = createServer(connectNodeAdapter({routes}));
			server.on('session', session => {
				sessions.add(session);
				session.on('close', () => sessions.delete(session));
				session.on('error', () => undefined);
			});
			await listenForPeers(server, options.address);
		},
		async stop() {
			stopController.abort();
			await flushOutboxes();
			for (const {abortController} of outgoingLinks.values()) {
				abortController.abort();
			}

			for (const link of links.values()) {
				removeLink(link);
			}

			for (const session of sessions) {
				session.destroy();
			}

			server?.close();
		},
		sendMessage(to, message) {
			const link = links.get(to);
			if (link === undefined) {
				return;
			}

			const frame = encodeFrame(message);
			options.count('peer_frames_sent_total');
			options.count('peer_bytes_sent_total', frame.length);
			if (!link.outbox.addFrame(frame)) {
				options.log('warn', 'link closed because its send queue is full', {peer: to, address: link.address});
				removeLink(link);
			}
		},
		openLink(entryId, address) {
			outgoingLinks.get(entryId)?.abortController.abort();
			const link: OutgoingLink = {address, abortController: new AbortController()};
			outgoingLinks.set(entryId, link);
			void keepLinkOpen(entryId, link);
		},
		closeLink(entryId) {
			outgoingLinks.get(entryId)?.abortController.abort();
			outgoingLinks.delete(entryId);
		},
	};
}

async function * readOutboxBatches(outbox: FrameOutbox): AsyncGenerator<{frames: Uint8Array[]}> {
	// An empty first batch sends the request headers at once.
	yield {frames: []};
	for await (const frames of outbox.readBatches()) {
		yield {frames};
	}
}
