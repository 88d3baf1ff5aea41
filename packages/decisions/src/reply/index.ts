export {replyFilter} from './reply-filter.js';
export {createReplyState, type ReplyState} from './reply-state.js';
