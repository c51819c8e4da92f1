package eiderscale.meta;

import eiderscale.Api;
import eiderscale.net.Answer;
import java.util.List;

/**
 * One line of the meta protocol with its data block, in either direction. Where {@code fault} is set the
 * line broke the protocol and {@code fault} is what its sender should be told. Behind a {@code last} frame
 * nobody knows where the next line begins: nothing that follows may be read as one. A value longer than
 * {@link #MOST_HELD} is not in it: {@code bulk} of its bytes follow as they come. Where {@code unheld} is set it came with
 * a value for which there was no memory, and which was passed over.
 */
record MetaFrame(List<String> words, byte[] data, String fault, boolean last, int bulk, boolean unheld) implements Answer {
    /** Values of up to so many bytes are held whole. */
    static final int MOST_HELD = 64 * 1024;
    /** Values may hold so many bytes. */
    static final int MOST_VALUE = 4 * 1024 * 1024;

    static MetaFrame of(List<String> words, byte[] data) {
        return new MetaFrame(words, data, null, false, 0, false);
    }

    static MetaFrame fault(String answer, boolean last) {
        return new MetaFrame(List.of(), null, answer, last, 0, false);
    }

    static MetaFrame before(List<String> words, int bulk) {
        return new MetaFrame(words, null, null, false, bulk, false);
    }

    /** Without the value that came with it. */
    static MetaFrame unheld(List<String> words) {
        return new MetaFrame(words, null, null, false, 0, true);
    }

    /** Bytes of its value; 0 if it has none. */
    int length() {
        return data != null ? data.length : bulk;
    }

    @Override
    public String summary() {
        return fault != null ? fault : String.join(" ", words);
    }

    @Override
    public String loadReport() {
        return flag(1, 'L');
    }

    @Override
    public Api.Lookup lookup() {
        String held = flag(1, 'h');
        return "1".equals(held) ? Api.Lookup.HIT : "0".equals(held) ? Api.Lookup.MISS : Api.Lookup.UNTOLD;
    }

    boolean is(int at, String word) {
        return at < words.size() && words.get(at).equals(word);
    }

    /** The token of a flag behind the first {@code from} words, without its letter; null if absent. */
    String flag(int from, char letter) {
        for (int i = from; i < words.size(); i++) {
            if (words.get(i).charAt(0) == letter) {
                return words.get(i).substring(1);
            }
        }
        return null;
    }
}
