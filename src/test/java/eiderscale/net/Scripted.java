package eiderscale.net;

import eiderscale.Api;
import java.util.List;

/** A module that does nothing: tests override what they are about. */
class Scripted implements Api.Events {
    final Api.Actions actions;

    Scripted(Api.Actions actions) {
        this.actions = actions;
    }

    @Override
    public void onList(long now, Api.ListMode mode, List<Api.Server> servers) {
    }

    @Override
    public void onRequest(long now, Api.Request request) {
    }

    @Override
    public void onOutcome(long now, Api.Outcome outcome) {
    }

    @Override
    public void onFirstByte(long now, long request, int attempt) {
    }

    @Override
    public void onClientGone(long now, long request) {
    }

    @Override
    public void onTimer(long now, int token) {
    }
}
