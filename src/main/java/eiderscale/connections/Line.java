package eiderscale.connections;

/** Members in the order in which they joined; each joins and leaves in constant time. */
final class Line<C> {
    Member<C> first;
    private Member<C> last;
    int size;

    void add(Member<C> member) {
        member.line = this;
        member.before = last;
        if (last == null) {
            first = member;
        } else {
            last.behind = member;
        }
        last = member;
        size++;
    }

    static <C> void leave(Member<C> member) {
        Line<C> line = member.line;
        if (line == null) {
            return;
        }
        if (member.before == null) {
            line.first = member.behind;
        } else {
            member.before.behind = member.behind;
        }
        if (member.behind == null) {
            line.last = member.before;
        } else {
            member.behind.before = member.before;
        }
        member.before = null;
        member.behind = null;
        member.line = null;
        line.size--;
    }
}
